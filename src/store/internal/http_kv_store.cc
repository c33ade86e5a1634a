#include <Poco/URI.h>
#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "store/store_module.h"

namespace wist {
namespace {

using json = nlohmann::json;

// Additional time for the response to a watch after its wait time has ended.
constexpr milliseconds kWatchResponseMargin{500};

std::string UrlEncode(const std::string& text) {
  std::string encoded;
  Poco::URI::encode(text, "/?#&=%+ :", encoded);
  return encoded;
}

std::vector<http_header> DomainHeader(const std::string& domain) {
  return {{"X-Domain", domain}};
}

http_request WithLabel(http_request request) {
  request.label = {"store", ""};
  return request;
}

// Returns what `decode` makes of the object in the body. Throws kv_unavailable
// if there is none, or if a field is missing or has another type.
template <typename Decode>
auto DecodeBody(const http_response& response, Decode decode) {
  const json object = json::parse(response.body, nullptr, false);
  if (!object.is_object())
    throw kv_unavailable("key-value service response is not a JSON object");
  try {
    return decode(object);
  } catch (const json::exception& error) {
    throw kv_unavailable(
        fmt::format("key-value service response: {}", error.what()));
  }
}

// Throws json::exception if the value is not an unsigned integer.
std::uint64_t UnsignedField(const json& object, const char* name) {
  const json& value = object.at(name);
  if (!value.is_number_unsigned()) {
    throw json::other_error::create(
        0, fmt::format("{} is not an unsigned integer", name), &object);
  }
  return value.get<std::uint64_t>();
}

kv_entry ParseEntry(const http_response& response) {
  return DecodeBody(response, [](const json& object) {
    return kv_entry{object.at("value").get<std::string>(),
                    UnsignedField(object, "revision")};
  });
}

// Returns nothing for an entry that names no instance, so that one odd entry
// does not hide the others.
std::optional<listed_instance> ParseInstance(const json& entry) {
  try {
    return listed_instance{entry.at("id").get<std::string>(),
                           entry.at("domain").get<std::string>(),
                           entry.at("peer_address").get<std::string>(),
                           entry.value("leaving", false)};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

class http_kv_store final : public i_kv_store {
 public:
  http_kv_store(std::shared_ptr<i_http_client> client,
                std::shared_ptr<const i_clock> clock,
                http_address address,
                const std::string& domain)
      : client_(std::move(client)),
        clock_(std::move(clock)),
        address_(std::move(address)),
        headers_(DomainHeader(domain)) {}

  kv_entry Read(const std::string& key, timestamp deadline) override {
    const http_response response = CallOrThrow(
        {.path = "/kv/" + UrlEncode(key), .headers = headers_}, deadline);
    if (response.status == 404)
      return {};
    RequireStatus(response, 200);
    return ParseEntry(response);
  }

  kv_swap_result CompareAndSwap(const std::string& key,
                                std::uint64_t expected_revision,
                                const std::string& value,
                                timestamp deadline) override {
    http_request request{.method = "PUT", .headers = headers_};
    request.path =
        fmt::format("/kv/{}?expected={}", UrlEncode(key), expected_revision);
    request.body = value;
    http_response response;
    try {
      response = client_->Call(address_, WithLabel(request), deadline);
    } catch (const http_error& error) {
      if (!error.may_have_been_sent())
        throw kv_unavailable(error.what());
      return kv_in_doubt{error.what()};
    }
    try {
      if (response.status == 200)
        return kv_written{ParseEntry(response).revision};
      if (response.status == 409)
        return kv_conflict{ParseEntry(response)};
    } catch (const kv_unavailable& error) {
      return kv_in_doubt{error.what()};
    }
    if (response.status == 429 || response.status == 503)
      throw kv_unavailable("key-value service rejected the write");
    return kv_in_doubt{fmt::format(
        "key-value service returned status {} for a write", response.status)};
  }

  std::optional<kv_entry> Watch(const std::string& key,
                                std::uint64_t known_revision,
                                timestamp deadline) override {
    const auto wait =
        std::chrono::duration_cast<milliseconds>(deadline - clock_->Now());
    http_request request{.headers = headers_};
    request.path =
        fmt::format("/watch/{}?known={}&wait_ms={}", UrlEncode(key),
                    known_revision, std::max<std::int64_t>(0, wait.count()));
    const http_response response =
        CallOrThrow(request, deadline + kWatchResponseMargin);
    if (response.status == 204)
      return std::nullopt;
    RequireStatus(response, 200);
    return ParseEntry(response);
  }

  std::optional<kv_lease> AcquireLease(const std::string& name,
                                       const std::string& holder,
                                       milliseconds validity,
                                       timestamp deadline) override {
    http_request request{.method = "POST", .headers = headers_};
    request.path = "/leases/" + UrlEncode(name);
    request.body =
        json{{"holder", holder}, {"validity_ms", validity.count()}}.dump();
    const timestamp sent_at = clock_->Now();
    const http_response response = CallOrThrow(request, deadline);
    if (response.status == 409)
      return std::nullopt;
    RequireStatus(response, 200);
    return DecodeBody(response, [&](const json& object) {
      return std::optional(kv_lease{name, holder,
                                    UnsignedField(object, "fencing_number"),
                                    sent_at + validity});
    });
  }

  void ReleaseLease(const kv_lease& lease, timestamp deadline) override {
    http_request request{.method = "DELETE", .headers = headers_};
    request.path = fmt::format("/leases/{}?holder={}", UrlEncode(lease.name),
                               UrlEncode(lease.holder));
    try {
      client_->Call(address_, WithLabel(request), deadline);
    } catch (const http_error&) {
      // The lease expires at its deadline.
    }
  }

 private:
  http_response CallOrThrow(const http_request& request, timestamp deadline) {
    try {
      return client_->Call(address_, WithLabel(request), deadline);
    } catch (const http_error& error) {
      throw kv_unavailable(error.what());
    }
  }

  static void RequireStatus(const http_response& response, int status) {
    if (response.status != status)
      throw kv_unavailable(
          fmt::format("key-value service returned status {}", response.status));
  }

  const std::shared_ptr<i_http_client> client_;
  const std::shared_ptr<const i_clock> clock_;
  const http_address address_;
  const std::vector<http_header> headers_;
};

class http_instance_list final : public i_instance_list {
 public:
  http_instance_list(std::shared_ptr<i_http_client> client,
                     http_address address,
                     const std::string& domain)
      : client_(std::move(client)),
        address_(std::move(address)),
        headers_(DomainHeader(domain)) {}

  std::vector<listed_instance> List(timestamp deadline) override {
    const http_response response =
        Call({.path = "/instances", .headers = headers_}, deadline);
    return DecodeBody(response, [](const json& object) {
      const json& entries = object.at("instances");
      if (!entries.is_array())
        throw json::other_error::create(0, "instances is no array", &entries);
      std::vector<listed_instance> listed;
      for (const json& entry : entries) {
        if (auto instance = ParseInstance(entry))
          listed.push_back(std::move(*instance));
      }
      return listed;
    });
  }

  void Announce(const listed_instance& self, timestamp deadline) override {
    Call({.method = "PUT",
          .path = "/instances/" + UrlEncode(self.id),
          .headers = headers_,
          .body = json{{"domain", self.domain},
                       {"peer_address", self.peer_address},
                       {"leaving", self.leaving}}
                      .dump()},
         deadline);
  }

  void Withdraw(const listed_instance& self, timestamp deadline) override {
    Call({.method = "DELETE",
          .path = "/instances/" + UrlEncode(self.id),
          .headers = headers_},
         deadline);
  }

 private:
  http_response Call(const http_request& request, timestamp deadline) {
    try {
      http_response response =
          client_->Call(address_, WithLabel(request), deadline);
      if (response.status != 200)
        throw kv_unavailable(
            fmt::format("instance list returned status {}", response.status));
      return response;
    } catch (const http_error& error) {
      throw kv_unavailable(error.what());
    }
  }

  const std::shared_ptr<i_http_client> client_;
  const http_address address_;
  const std::vector<http_header> headers_;
};

}  // namespace

std::shared_ptr<i_kv_store> MakeHttpKvStore(
    std::shared_ptr<i_http_client> client,
    std::shared_ptr<const i_clock> clock,
    http_address address,
    const std::string& domain) {
  return std::make_shared<http_kv_store>(std::move(client), std::move(clock),
                                         std::move(address), domain);
}

std::shared_ptr<i_instance_list> MakeHttpInstanceList(
    std::shared_ptr<i_http_client> client,
    http_address address,
    const std::string& domain) {
  return std::make_shared<http_instance_list>(std::move(client),
                                              std::move(address), domain);
}

}  // namespace wist
