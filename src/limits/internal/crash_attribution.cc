#include "limits/crash_attribution.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace wist {
namespace {

// Indexes of the crashes for which a suspect may be responsible, in order of
// time.
using crash_indexes = std::vector<std::size_t>;
using suspect_index = std::map<suspect_digest, crash_indexes>;

// Leaves out suspects of a single crash: nothing can be concluded from it.
suspect_index IndexBySuspect(const std::vector<observed_crash>& crashes) {
  std::vector<std::pair<suspect_digest, std::size_t>> pairs;
  for (std::size_t i = 0; i < crashes.size(); ++i) {
    for (const suspect_set& run : crashes[i].runs) {
      for (const suspect_digest suspect : run)
        pairs.emplace_back(suspect, i);
    }
  }
  std::sort(pairs.begin(), pairs.end());
  pairs.erase(std::unique(pairs.begin(), pairs.end()), pairs.end());
  suspect_index index;
  for (auto first = pairs.begin(); first != pairs.end();) {
    const auto last = std::find_if(first, pairs.end(), [&](const auto& entry) {
      return entry.first != first->first;
    });
    if (last - first > 1) {
      crash_indexes& indexes = index[first->first];
      for (auto entry = first; entry != last; ++entry)
        indexes.push_back(entry->second);
    }
    first = last;
  }
  return index;
}

// The crashes that have not been explained yet, and the rules by which they
// count.
struct unexplained_crashes {
  std::vector<observed_crash> crashes;
  const suspect_set& requests;
  const attribution_settings& settings;

  // Returns how many of the crashes count against the suspect.
  std::size_t Count(suspect_digest suspect,
                    const crash_indexes& indexes) const {
    const milliseconds window = requests.contains(suspect)
                                    ? settings.correlated_window_of_requests
                                    : settings.correlated_window;
    std::size_t count = 0;
    std::optional<timestamp> counted_at;
    for (const std::size_t i : indexes) {
      if (counted_at && crashes[i].at < *counted_at + window)
        continue;
      counted_at = crashes[i].at;
      ++count;
    }
    return count;
  }
};

bool HasAll(const suspect_set& run, const suspect_set& wanted) {
  return std::includes(run.begin(), run.end(), wanted.begin(), wanted.end());
}

// A set of suspects, and the crashes in which all of them took part.
struct cause {
  suspect_set suspects;
  crash_indexes crashes;
};

// Returns the suspect with most crashes among those with enough of them.
std::optional<cause> FindMostFrequent(const unexplained_crashes& unexplained,
                                      const suspect_index& candidates,
                                      std::size_t min_crashes) {
  std::optional<cause> found;
  for (const auto& [suspect, indexes] : candidates) {
    if (unexplained.Count(suspect, indexes) >= min_crashes &&
        (!found || indexes.size() > found->crashes.size()))
      found = cause{{suspect}, indexes};
  }
  return found;
}

// Returns for each suspect that was together with those of `found` in a run the
// crashes in which it was.
suspect_index FindCompanions(const std::vector<observed_crash>& crashes,
                             const cause& found) {
  suspect_index companions;
  for (const std::size_t i : found.crashes) {
    for (const suspect_set& run : crashes[i].runs) {
      if (!HasAll(run, found.suspects))
        continue;
      for (const suspect_digest suspect : run) {
        crash_indexes& indexes = companions[suspect];
        if (!found.suspects.contains(suspect) &&
            (indexes.empty() || indexes.back() != i))
          indexes.push_back(i);
      }
    }
  }
  return companions;
}

// Adds the suspects that were part of most of the same runs: any of them may be
// the cause. A crash may be missing for the one that is, since the instance
// that had its run may have ended before it could report it. A request that is
// repeated is the cause only if no other one was involved.
void AddInseparable(cause& found,
                    const unexplained_crashes& unexplained,
                    const suspect_index& candidates) {
  const std::size_t explained = found.crashes.size();
  for (;;) {
    std::optional<cause> widened;
    for (auto& [suspect, common] : FindCompanions(unexplained.crashes, found)) {
      const std::size_t needed = unexplained.requests.contains(suspect)
                                     ? explained
                                     : (explained + 1) / 2;
      if (!candidates.contains(suspect) || common.size() < needed ||
          (widened && common.size() <= widened->crashes.size()))
        continue;
      widened = cause{{suspect}, common};
    }
    if (!widened)
      return;
    found.suspects.merge(widened->suspects);
    found.crashes = std::move(widened->crashes);
  }
}

// Returns the suspects that explain nearly as many crashes as `found`, and
// hardly any others. They are not its companions, so that sound requests may
// have them: each of them ran on the targets that the other one crashed.
std::vector<cause> FindRivals(const unexplained_crashes& unexplained,
                              const cause& found,
                              const suspect_index& candidates,
                              std::size_t min_crashes) {
  std::vector<cause> rivals;
  const suspect_index companions = FindCompanions(unexplained.crashes, found);
  for (const auto& [suspect, indexes] : candidates) {
    if (companions.contains(suspect) ||
        indexes.size() + 1 < found.crashes.size())
      continue;
    crash_indexes others;
    std::set_difference(indexes.begin(), indexes.end(), found.crashes.begin(),
                        found.crashes.end(), std::back_inserter(others));
    if (unexplained.Count(suspect, indexes) >= min_crashes &&
        unexplained.Count(suspect, others) < min_crashes)
      rivals.push_back({{suspect}, indexes});
  }
  return rivals;
}

}  // namespace

// A crash has one cause. The suspects that explain most crashes are taken
// first, and these crashes no longer count against others that happened to run
// on the same targets.
std::vector<suspect_set> AttributeCrashes(
    const crash_observations& observations,
    const attribution_settings& settings) {
  unexplained_crashes unexplained{observations.crashes, observations.requests,
                                  settings};
  std::vector<suspect_set> causes;
  for (;;) {
    std::vector<cause> found;
    for (const bool considers_proven : {false, true}) {
      const std::size_t min_crashes = considers_proven
                                          ? settings.min_crashes_of_proven
                                          : settings.min_crashes;
      suspect_index candidates = IndexBySuspect(unexplained.crashes);
      std::erase_if(candidates, [&](const auto& entry) {
        return observations.proven.contains(entry.first) != considers_proven;
      });
      auto first = FindMostFrequent(unexplained, candidates, min_crashes);
      if (!first)
        continue;
      AddInseparable(*first, unexplained, candidates);
      found = FindRivals(unexplained, *first, candidates, min_crashes);
      // The next crashes, or the output of a sound run, tell rivals apart.
      if (!found.empty() &&
          unexplained.Count(*first->suspects.begin(), first->crashes) <
              min_crashes + settings.crashes_to_tell_apart)
        return causes;
      found.insert(found.begin(), std::move(*first));
      break;
    }
    if (found.empty())
      return causes;
    for (cause& blamed : found) {
      for (const std::size_t i : blamed.crashes)
        unexplained.crashes[i].runs.clear();
      causes.push_back(std::move(blamed.suspects));
    }
  }
}

}  // namespace wist
