#include "rollout/exposure.h"

namespace wist {

version_choice ChooseVersion(const version_rule& rule, double draw) {
  switch (rule.phase) {
    case rollout_phase::none:
      return version_choice::any;
    case rollout_phase::canary:
      return draw < rule.share ? version_choice::prefer_new
                               : version_choice::only_old;
    case rollout_phase::only_new:
      return version_choice::only_new;
    case rollout_phase::only_old:
      return version_choice::only_old;
  }
  return version_choice::only_old;
}

bool Permits(const version_rule& rule,
             version_choice choice,
             const version_name& version) {
  if (rule.withheld.contains(version))
    return false;
  switch (choice) {
    case version_choice::any:
    case version_choice::prefer_new:
      return true;
    case version_choice::only_new:
      return version == rule.target;
    case version_choice::only_old:
      return version != rule.target;
  }
  return false;
}

bool Prefers(const version_rule& rule,
             version_choice choice,
             const version_name& version) {
  return Permits(rule, choice, version) &&
         (choice != version_choice::prefer_new || version == rule.target);
}

}  // namespace wist
