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

// Checks the lines of gateways: each request is told once, its verdict fits
// what was done for it, and no process goes back to an older configuration.
// Lines of one instance have to come in their order.
class gateway_auditor {
 public:
  // Ignores lines of other programs. Throws nlohmann::json::exception if a
  // field has the wrong type.
  void Add(const nlohmann::json& line);

  void Report(audit_report& report) const;

 private:
  void AddRequest(const nlohmann::json& line);
  void AddConfiguration(const nlohmann::json& line);
  void Find(finding_kind kind,
            const std::string& subject,
            const std::string& text);

  std::set<std::string> requests_;
  // Newest configuration of each instance since its start.
  std::map<std::string, std::int64_t> configurations_;
  std::int64_t events_ = 0;
  std::vector<audit_finding> findings_;
};

}  // namespace wist

#endif  // RECORD_INTERNAL_GATEWAY_AUDIT_H_
