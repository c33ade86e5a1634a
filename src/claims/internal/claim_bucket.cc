#include "claims/internal/claim_bucket.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "framework/base/hashing.h"

namespace wist {
namespace {

using json = nlohmann::json;

// Returns the record that was created with `ticket`, or null. Only the process
// that knows the nonce of a record may change it. New claims are checked
// against the record of their key whatever its nonce.
claim_record* FindRecord(claim_bucket& bucket, const claim_ticket& ticket) {
  const auto found = bucket.records.find(ticket.key);
  if (found == bucket.records.end() || found->second.nonce != ticket.nonce)
    return nullptr;
  return &found->second;
}

operation_effect ApplyClaim(const claim_operation& operation,
                            claim_bucket& bucket) {
  if (bucket.closed)
    return {claim_too_old{}, false};
  const claim_ticket& ticket = operation.ticket;
  const auto [found, created] = bucket.records.try_emplace(
      ticket.key,
      claim_record{ticket.nonce, operation.body_digest, std::nullopt});
  if (created)
    return {claim_granted{ticket}, true};
  const claim_record& record = found->second;
  if (record.body_digest != operation.body_digest)
    return {claim_body_mismatch{}, false};
  if (record.outcome)
    return {claim_replayed{*record.outcome}, false};
  if (record.nonce == ticket.nonce)
    return {claim_granted{ticket}, false};
  return {claim_in_doubt{}, false};
}

operation_effect ApplyOutcome(const outcome_operation& operation,
                              claim_bucket& bucket) {
  claim_record* record = FindRecord(bucket, operation.ticket);
  if (!record)
    return {claim_too_old{}, false};
  const bool changed = record->outcome != operation.outcome;
  record->outcome = operation.outcome;
  return {claim_replayed{operation.outcome}, changed};
}

operation_effect ApplyWithdraw(const withdraw_operation& operation,
                               claim_bucket& bucket) {
  if (bucket.closed)
    return {claim_too_old{}, false};
  claim_record* record = FindRecord(bucket, operation.ticket);
  if (record && !record->outcome)
    bucket.records.erase(operation.ticket.key);
  // NOTE: The counter is also incremented if there is no record, so that the
  // bucket is always written. The write makes a swap fail that is still in
  // flight and would create the claim.
  ++bucket.withdrawals;
  return {claim_granted{operation.ticket}, true};
}

json ToJson(const claim_record& record) {
  json object = {{"n", record.nonce}, {"d", record.body_digest}};
  if (record.outcome) {
    object["s"] = record.outcome->status;
    object["b"] = record.outcome->body;
  }
  return object;
}

claim_record ReadRecord(const json& object) {
  claim_record record;
  record.nonce = object.at("n").get<std::string>();
  record.body_digest = object.at("d").get<std::string>();
  if (object.contains("s")) {
    record.outcome = recorded_outcome{object.at("s").get<int>(),
                                      object.at("b").get<std::string>()};
  }
  return record;
}

}  // namespace

const claim_ticket& TicketOf(const bucket_operation& operation) {
  return std::visit(
      [](const auto& op) -> const claim_ticket& { return op.ticket; },
      operation);
}

operation_effect Apply(const bucket_operation& operation,
                       claim_bucket& bucket) {
  struct visitor {
    claim_bucket& bucket;
    operation_effect operator()(const claim_operation& op) {
      return ApplyClaim(op, bucket);
    }
    operation_effect operator()(const outcome_operation& op) {
      return ApplyOutcome(op, bucket);
    }
    operation_effect operator()(const withdraw_operation& op) {
      return ApplyWithdraw(op, bucket);
    }
  };
  return std::visit(visitor{bucket}, operation);
}

std::string BucketKey(const claim_settings& settings,
                      const std::string& key,
                      calendar_time issued_at) {
  const auto buckets = static_cast<std::uint64_t>(settings.buckets_per_slice);
  return BucketKey(settings, issued_at,
                   static_cast<int>(StableHash(key) % buckets));
}

std::string BucketKey(const claim_settings& settings,
                      calendar_time issued_at,
                      int bucket) {
  const auto slice =
      issued_at.time_since_epoch() / milliseconds(settings.slice_length);
  return fmt::format("wisteriatally/claims/{}/{}", slice, bucket);
}

std::string EncodeBucket(const claim_bucket& bucket) {
  if (bucket.closed)
    return R"({"closed":true})";
  json records = json::object();
  for (const auto& [key, record] : bucket.records)
    records[key] = ToJson(record);
  return json{{"w", bucket.withdrawals}, {"r", std::move(records)}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
}

claim_bucket DecodeBucket(const std::string& text) {
  claim_bucket bucket;
  if (text.empty())
    return bucket;
  try {
    const json object = json::parse(text);
    bucket.closed = object.value("closed", false);
    if (bucket.closed)
      return bucket;
    bucket.withdrawals = object.at("w").get<std::uint64_t>();
    for (const auto& [key, record] : object.at("r").items())
      bucket.records[key] = ReadRecord(record);
  } catch (const json::exception& error) {
    throw std::runtime_error(std::string("cannot decode claim bucket: ") +
                             error.what());
  }
  return bucket;
}

}  // namespace wist
