#ifndef ROLLOUT_EXPOSURE_H_
#define ROLLOUT_EXPOSURE_H_

#include "rollout/rollout_types.h"

namespace wist {

// Versions that a request may use, and the one that it uses if there is a
// choice.
enum class version_choice {
  any,         // All but withheld versions.
  prefer_new,  // The new version, or the old one if it has no free capacity.
  only_new,
  only_old
};

// Returns the choice for a request. `draw` in [0, 1) derives from the id of the
// request, so that retries, moves and resumes keep it.
version_choice ChooseVersion(const version_rule& rule, double draw);

// Whether a target of this version may be used.
bool Permits(const version_rule& rule,
             version_choice choice,
             const version_name& version);

// Whether a target of this version is used first.
bool Prefers(const version_rule& rule,
             version_choice choice,
             const version_name& version);

}  // namespace wist

#endif  // ROLLOUT_EXPOSURE_H_
