#include "node/internal/claim_forwarder.h"

#include "framework/base/hashing.h"

namespace wist {

claim_forwarder::claim_forwarder(const instance_id& self,
                                 std::shared_ptr<cluster_state> cluster,
                                 std::shared_ptr<i_peer_link> link)
    : self_(self), cluster_(std::move(cluster)), link_(std::move(link)) {}

std::string claim_forwarder::WriterOf(const std::string& bucket) {
  const std::vector<member_record> members = cluster_->LiveMembers();
  const member_record* writer = nullptr;
  std::uint64_t highest_weight = 0;
  for (const member_record& member : members) {
    const std::uint64_t weight = StableHash(bucket + "/" + member.id.text());
    if (!writer || weight > highest_weight) {
      writer = &member;
      highest_weight = weight;
    }
  }
  return writer && writer->id != self_ ? writer->address : std::string();
}

std::optional<std::vector<claim_result>> claim_forwarder::Forward(
    const std::string& writer,
    const std::vector<bucket_operation>& operations,
    timestamp deadline) {
  try {
    const peer_response response =
        link_->Call(writer, claim_call{operations}, deadline);
    if (const auto* results = std::get_if<claim_response>(&response))
      return results->results;
  } catch (const peer_error&) {
    // The caller then writes the bucket itself.
  }
  return std::nullopt;
}

}  // namespace wist
