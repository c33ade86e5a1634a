#ifndef RECORD_INTERNAL_GATEWAY_AUDIT_H_
#define RECORD_INTERNAL_GATEWAY_AUDIT_H_

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

#include "record/record_types.h"

namespace wist {

// Checks the log lines of gateways: each request is logged once, its verdict
// agrees with its logged dispatches and events, and no instance goes back to an
// older configuration without a restart. The lines of one instance must be
// added in the order in which it wrote them.
class gateway_auditor {
 public:
  // Ignores the lines of other programs. Throws nlohmann::json::exception if a
  // field has the wrong type.
  void Add(const nlohmann::json& line);

  // Adds the counts and findings of the gateways to `report`.
  void AddTo(audit_report& report) const;

 private:
  void AddRequest(const nlohmann::json& line);
  void AddConfiguration(const nlohmann::json& line);
  void AddFinding(finding_kind kind,
                  const std::string& subject,
                  const std::string& text);

  std::set<std::string> requests_;
  // Newest configuration version of each instance since its last start.
  std::map<std::string, std::int64_t> newest_versions_;
  std::int64_t events_ = 0;
  std::vector<audit_finding> findings_;
};

}  // namespace wist

#endif  // RECORD_INTERNAL_GATEWAY_AUDIT_H_
