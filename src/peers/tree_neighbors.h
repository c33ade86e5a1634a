#ifndef PEERS_TREE_NEIGHBORS_H_
#define PEERS_TREE_NEIGHBORS_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "framework/base/time_types.h"
#include "peers/instance_backoff.h"
#include "peers/peer_report.h"
#include "peers/watch_plan.h"

namespace wist {

// A parent or a root of another domain that sent nothing for this long is
// replaced by the next instance of the tree.
inline constexpr milliseconds kNeighborReplaceAfter{600};

// The loads behind a neighbor that sent nothing for this long are no longer
// counted.
inline constexpr milliseconds kNeighborSilenceLimit{1000};

// An instance to which reports are sent.
struct tree_neighbor {
  std::string name;
  http_address address;
  neighbor_role role = neighbor_role::parent;

  auto operator<=>(const tree_neighbor&) const = default;
};

// Decides with which instances this one exchanges reports: its parent and its
// children in the watch tree and, for the root of a failure domain, the roots
// of the other domains. Each instance decides from what it hears itself. A
// parent always precedes its children in one order of all instances, so that
// there are no cycles even while instances disagree about who is alive. Not
// thread-safe; reads no clock.
class tree_neighbors {
 public:
  explicit tree_neighbors(known_instance self);

  // Sets the announced instances other than this one.
  void SetInstances(std::vector<known_instance> others, timestamp now);

  // Handles a report. Returns the role of its sender if its content counts;
  // nothing if it is to be ignored.
  std::optional<neighbor_role> OnReport(const std::string& sender,
                                        const http_address& address,
                                        neighbor_role receiver_role,
                                        timestamp now);

  // Handles a report in which a child detaches.
  void OnDetached(const std::string& sender);

  // Replaces neighbors that were silent for too long. Has to be called several
  // times within `kNeighborReplaceAfter`.
  void Check(timestamp now);

  // Returns all instances to which reports are sent.
  std::vector<tree_neighbor> Current() const;

  // Returns the instances whose content counted and no longer does, once each.
  // Parents among them have to be told that this instance detached.
  std::vector<tree_neighbor> TakeDropped();

  // Whether this instance is the root of its failure domain.
  bool IsRoot() const { return is_root_; }

  // Returns the parent that was heard recently.
  std::optional<known_instance> Parent() const { return parent_.current; }

  // Returns the roots of other domains that were heard recently; empty unless
  // this instance is a root.
  std::vector<known_instance> OtherRoots() const;

  // Returns from where this instance reads the store: from its parent; a root
  // from the first of all roots that were heard, which itself reads the store.
  // `unusable` are instances whose mirrors failed recently. With
  // `store_refuses`, names an instance even if this one would normally read the
  // store.
  mirror_source ChooseSource(const std::set<std::string>& unusable,
                             bool store_refuses,
                             timestamp now) const;

 private:
  // A place in the tree that one instance fills at a time.
  struct link {
    std::optional<known_instance> current;  // Heard recently.
    timestamp heard_at;
    // Receives reports and becomes current as soon as it responds.
    std::optional<known_instance> candidate;
    timestamp candidate_since;
  };

  struct child {
    http_address address;
    timestamp heard_at;
  };

  // An instance that precedes this one in its domain, and its rank there.
  struct ranked_instance {
    const known_instance* instance = nullptr;
    std::size_t rank = 0;
  };

  // Returns the parent of this instance in the tree without the instances in
  // `unusable` and those that did not respond recently; nothing for a root.
  std::optional<ranked_instance> PlannedParent(
      const std::set<std::string>& unusable,
      timestamp now) const;
  std::optional<known_instance> FirstOtherRoot(
      const std::set<std::string>& unusable) const;
  std::optional<known_instance> PlannedRoot(const domain_id& domain,
                                            timestamp now) const;
  void CheckParent(timestamp now);
  void CheckRoots(timestamp now);
  void CheckChildren(timestamp now);
  void DropRoots();
  // Returns whether the plan has to be made again.
  bool UpdateLink(link& place,
                  const std::optional<known_instance>& planned,
                  neighbor_role role,
                  timestamp now);
  void SetCurrent(link& place,
                  const known_instance& instance,
                  neighbor_role role,
                  timestamp now);
  void ClearCurrent(link& place, neighbor_role role);
  const known_instance* FindInstance(const std::string& name) const;

  const known_instance self_;
  std::map<std::string, known_instance> others_;
  // The other instances of each domain in tree order; of the own domain, those
  // that precede this one.
  std::map<domain_id, std::vector<known_instance>> ordered_;
  bool is_root_ = false;
  link parent_;
  std::map<domain_id, link> roots_;
  std::map<std::string, child> children_;
  instance_backoff backoff_;
  std::vector<tree_neighbor> dropped_;
};

}  // namespace wist

#endif  // PEERS_TREE_NEIGHBORS_H_
