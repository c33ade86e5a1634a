#include "peer_link/internal/peer_codec.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace wist {
namespace {

using json = nlohmann::json;

// Calls and responses are signed for different purposes, so that one cannot be
// replayed as the other.
constexpr char kCallPurpose[] = "peer-call";
constexpr char kResponsePurpose[] = "peer-answer";
constexpr char kSignatureDelimiter = '|';
constexpr std::size_t kMaxSignatureBytes = 200;

// Messages are arrays without field names to keep them small, because every
// instance sends several per second.

json ToJson(const member_record& r);
json ToJson(const domain_status& s);
json ToJson(const gossiped_crash& c);
json ToJson(const gossiped_output& o);
json ToJson(const target_tally& t);
json ToJson(const quota_grant& g);
json ToJson(const cold_permit_request& r);
json ToJson(const cold_permit& p);
json ToJson(const bucket_operation& operation);
json ToJson(const claim_result& result);

template <typename Item>
json ToJsonList(const std::vector<Item>& items) {
  json list = json::array();
  for (const Item& item : items)
    list.push_back(ToJson(item));
  return list;
}

template <typename Reader>
auto ReadList(const json& j, Reader reader) {
  std::vector<decltype(reader(j))> items;
  for (const json& item : j)
    items.push_back(reader(item));
  return items;
}

json ToJson(const member_record& r) {
  return json::array({r.id.text(), r.domain.text(), r.address, r.incarnation,
                      r.heartbeat, r.leaving});
}

member_record ReadMember(const json& j) {
  member_record record;
  record.id = instance_id(j.at(0).get<std::string>());
  record.domain = domain_id(j.at(1).get<std::string>());
  record.address = j.at(2).get<std::string>();
  record.incarnation = j.at(3).get<std::uint64_t>();
  record.heartbeat = j.at(4).get<std::uint64_t>();
  record.leaving = j.at(5).get<bool>();
  return record;
}

json ToJson(const domain_status& s) {
  return json::array({s.domain.text(), s.version, s.in, s.age.count()});
}

domain_status ReadDomainStatus(const json& j) {
  return {domain_id(j.at(0).get<std::string>()), j.at(1).get<std::int64_t>(),
          j.at(2).get<bool>(), milliseconds(j.at(3).get<std::uint32_t>())};
}

json ToJson(const gossiped_crash& c) {
  return json::array(
      {c.request_digest, c.target.text(), c.valid_for.count(), c.prompt_parts});
}

// Instances of earlier versions report requests only.
gossiped_crash ReadCrash(const json& j) {
  gossiped_crash crash{j.at(0).get<std::string>(),
                       target_id(j.at(1).get<std::string>()),
                       milliseconds(j.at(2).get<std::uint32_t>()),
                       {}};
  if (j.size() > 3)
    crash.prompt_parts = j.at(3).get<std::vector<std::uint64_t>>();
  return crash;
}

json ToJson(const gossiped_output& o) {
  return json::array({o.suspect, o.age.count()});
}

gossiped_output ReadOutput(const json& j) {
  return {j.at(0).get<std::uint64_t>(),
          milliseconds(j.at(1).get<std::uint32_t>())};
}

json ToJson(const gossip_message& g) {
  json store = json::array();
  if (g.store)
    store = json::array({g.store->version, g.store->age.count()});
  return json::array({ToJson(g.self), g.configuration_version,
                      ToJsonList(g.members), ToJsonList(g.domain_statuses),
                      store, ToJsonList(g.crashes), ToJsonList(g.outputs)});
}

gossip_message ReadGossip(const json& j) {
  gossip_message message;
  message.self = ReadMember(j.at(0));
  message.configuration_version = j.at(1).get<std::int64_t>();
  message.members = ReadList(j.at(2), ReadMember);
  message.domain_statuses = ReadList(j.at(3), ReadDomainStatus);
  if (!j.at(4).empty()) {
    message.store =
        store_status{j.at(4).at(0).get<std::int64_t>(),
                     milliseconds(j.at(4).at(1).get<std::uint32_t>())};
  }
  message.crashes = ReadList(j.at(5), ReadCrash);
  if (j.size() > 6)
    message.outputs = ReadList(j.at(6), ReadOutput);
  return message;
}

// Values are rounded to whole tokens, which is precise enough and shorter to
// encode.
json ToJson(const memory_forecast& f) {
  json list = json::array();
  for (const double mean : f.mean)
    list.push_back(std::llround(mean));
  for (const double variance : f.variance)
    list.push_back(std::llround(std::sqrt(std::max(0.0, variance))));
  return list;
}

memory_forecast ReadForecast(const json& j) {
  memory_forecast forecast;
  const std::size_t count = forecast.mean.size();
  for (std::size_t i = 0; i < count; ++i) {
    forecast.mean[i] = j.at(i).get<double>();
    const double deviation = j.at(count + i).get<double>();
    forecast.variance[i] = deviation * deviation;
  }
  return forecast;
}

json ToJson(const target_tally& t) {
  return json::array({t.target.text(), t.running, ToJson(t.forecast),
                      std::llround(t.demand * 10)});
}

target_tally ReadTally(const json& j) {
  target_tally tally;
  tally.target = target_id(j.at(0).get<std::string>());
  tally.running = j.at(1).get<std::int32_t>();
  tally.forecast = ReadForecast(j.at(2));
  tally.demand = j.at(3).get<double>() / 10;
  return tally;
}

json ToJson(const quota_grant& g) {
  return json::array({g.target.text(), ToJson(g.others_forecast),
                      g.others_running, std::llround(g.share * 1000)});
}

quota_grant ReadGrant(const json& j) {
  quota_grant grant;
  grant.target = target_id(j.at(0).get<std::string>());
  grant.others_forecast = ReadForecast(j.at(1));
  grant.others_running = j.at(2).get<std::int32_t>();
  grant.share = std::max(1.0, j.at(3).get<double>()) / 1000;
  return grant;
}

json ToJson(const cold_permit_request& r) {
  return json::array({r.target.text(), r.running, r.wanted});
}

cold_permit_request ReadPermitRequest(const json& j) {
  return {target_id(j.at(0).get<std::string>()), j.at(1).get<std::int32_t>(),
          j.at(2).get<std::int32_t>()};
}

json ToJson(const cold_permit& p) {
  return json::array({p.target.text(), p.count, p.epoch, p.valid_for.count()});
}

cold_permit ReadPermit(const json& j) {
  return {target_id(j.at(0).get<std::string>()), j.at(1).get<std::int32_t>(),
          j.at(2).get<std::uint64_t>(),
          milliseconds(j.at(3).get<std::uint32_t>())};
}

json ToJson(const claim_ticket& t) {
  return json::array({t.key, t.nonce, t.issued_at.time_since_epoch().count()});
}

claim_ticket ReadTicket(const json& j) {
  return {j.at(0).get<std::string>(), j.at(1).get<std::string>(),
          calendar_time(milliseconds(j.at(2).get<std::int64_t>()))};
}

json ToJson(const recorded_outcome& o) {
  return json::array({o.status, o.body});
}

recorded_outcome ReadOutcome(const json& j) {
  return {j.at(0).get<int>(), j.at(1).get<std::string>()};
}

json ToJson(const bucket_operation& operation) {
  struct writer {
    json operator()(const claim_operation& o) const {
      return json::array({0, ToJson(o.ticket), o.body_digest});
    }
    json operator()(const outcome_operation& o) const {
      return json::array({1, ToJson(o.ticket), ToJson(o.outcome)});
    }
    json operator()(const withdraw_operation& o) const {
      return json::array({2, ToJson(o.ticket)});
    }
  };
  return std::visit(writer{}, operation);
}

bucket_operation ReadOperation(const json& j) {
  const claim_ticket ticket = ReadTicket(j.at(1));
  switch (j.at(0).get<int>()) {
    case 0:
      return claim_operation{ticket, j.at(2).get<std::string>()};
    case 1:
      return outcome_operation{ticket, ReadOutcome(j.at(2))};
    case 2:
      return withdraw_operation{ticket};
    default:
      throw peer_error("unknown kind of claim operation in a peer message");
  }
}

json ToJson(const claim_result& result) {
  json payload = json::array();
  if (const auto* granted = std::get_if<claim_granted>(&result))
    payload = ToJson(granted->ticket);
  else if (const auto* replayed = std::get_if<claim_replayed>(&result))
    payload = ToJson(replayed->outcome);
  return json::array({result.index(), payload});
}

claim_result ReadClaimResult(const json& j) {
  switch (j.at(0).get<std::size_t>()) {
    case 0:
      return claim_granted{ReadTicket(j.at(1))};
    case 1:
      return claim_replayed{ReadOutcome(j.at(1))};
    case 2:
      return claim_in_doubt{};
    case 3:
      return claim_body_mismatch{};
    case 4:
      return claim_too_old{};
    default:
      return claim_store_unavailable{};
  }
}

struct call_writer {
  json operator()(const gossip_call& c) const { return ToJson(c.message); }
  json operator()(const configuration_call&) const { return json::array(); }
  json operator()(const tally_call& c) const {
    return json::array({c.member.text(), ToJsonList(c.tallies)});
  }
  json operator()(const permit_call& c) const {
    return json::array({c.member.text(), ToJsonList(c.requests)});
  }
  json operator()(const claim_call& c) const {
    return ToJsonList(c.operations);
  }
};

peer_call ReadCall(std::size_t kind, const json& j) {
  switch (kind) {
    case 0:
      return gossip_call{ReadGossip(j)};
    case 1:
      return configuration_call{};
    case 2:
      return tally_call{instance_id(j.at(0).get<std::string>()),
                        ReadList(j.at(1), ReadTally)};
    case 3:
      return permit_call{instance_id(j.at(0).get<std::string>()),
                         ReadList(j.at(1), ReadPermitRequest)};
    case 4:
      return claim_call{ReadList(j, ReadOperation)};
    default:
      throw peer_error("unknown kind of peer call");
  }
}

struct response_writer {
  json operator()(const gossip_response& r) const { return ToJson(r.message); }
  json operator()(const configuration_response& r) const { return r.document; }
  json operator()(const tally_response& r) const {
    return ToJsonList(r.grants);
  }
  json operator()(const permit_response& r) const {
    return ToJsonList(r.permits);
  }
  json operator()(const claim_response& r) const {
    return ToJsonList(r.results);
  }
  json operator()(const refusal_response&) const { return json::array(); }
};

peer_response ReadResponse(std::size_t kind, const json& j) {
  switch (kind) {
    case 0:
      return gossip_response{ReadGossip(j)};
    case 1:
      return configuration_response{j.get<std::string>()};
    case 2:
      return tally_response{ReadList(j, ReadGrant)};
    case 3:
      return permit_response{ReadList(j, ReadPermit)};
    case 4:
      return claim_response{ReadList(j, ReadClaimResult)};
    case 5:
      return refusal_response{};
    default:
      throw peer_error("unknown kind of peer response");
  }
}

std::string EncodeSigned(const i_keyring& keys,
                         const std::string& purpose,
                         const json& message) {
  std::string payload;
  json::to_cbor(message, payload);
  return keys.Sign(purpose, payload) + kSignatureDelimiter + payload;
}

json DecodeSigned(const i_keyring& keys,
                  const std::string& purpose,
                  const std::string& bytes) {
  const std::size_t end = bytes.find(kSignatureDelimiter);
  if (end == std::string::npos || end > kMaxSignatureBytes)
    throw peer_error("peer message has no signature");
  const std::string payload = bytes.substr(end + 1);
  if (!keys.Verify(purpose, payload, bytes.substr(0, end)))
    throw peer_error("peer message is not signed with a known key");
  return json::from_cbor(payload);
}

// Runs `decode` and converts JSON errors to peer_error.
template <typename Decode>
auto ConvertErrors(Decode decode) {
  try {
    return decode();
  } catch (const json::exception& error) {
    throw peer_error(std::string("peer message is malformed: ") + error.what());
  }
}

}  // namespace

std::string EncodeCall(const i_keyring& keys, const call_envelope& call) {
  return EncodeSigned(keys, kCallPurpose,
                      json::array({call.sender_domain.text(), call.call.index(),
                                   std::visit(call_writer{}, call.call)}));
}

call_envelope DecodeCall(const i_keyring& keys, const std::string& bytes) {
  return ConvertErrors([&] {
    const json message = DecodeSigned(keys, kCallPurpose, bytes);
    return call_envelope{
        domain_id(message.at(0).get<std::string>()),
        ReadCall(message.at(1).get<std::size_t>(), message.at(2))};
  });
}

std::string EncodeResponse(const i_keyring& keys,
                           const peer_response& response) {
  return EncodeSigned(
      keys, kResponsePurpose,
      json::array({response.index(), std::visit(response_writer{}, response)}));
}

peer_response DecodeResponse(const i_keyring& keys, const std::string& bytes) {
  return ConvertErrors([&] {
    const json message = DecodeSigned(keys, kResponsePurpose, bytes);
    return ReadResponse(message.at(0).get<std::size_t>(), message.at(1));
  });
}

}  // namespace wist
