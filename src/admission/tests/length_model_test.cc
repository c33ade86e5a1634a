#include "admission/internal/length_model.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

namespace wist {
namespace {

// Feeds `count` log-normally distributed lengths to `model`. Those longer than
// `censor_at` are censored there.
void Train(length_model& model,
           int count,
           double median,
           double deviation,
           std::int64_t censor_at) {
  std::mt19937_64 random(7);
  std::lognormal_distribution<double> lengths(std::log(median), deviation);
  for (int i = 0; i < count; ++i) {
    const auto length = static_cast<std::int64_t>(lengths(random)) + 1;
    model.OnGrowth(0, std::min(length, censor_at));
    if (length <= censor_at)
      model.OnFinished(length);
  }
}

}  // namespace

TEST_CASE("survival falls with length and starts at one") {
  length_model model;
  CHECK(model.Survival(0, 0) == Approx(1));
  CHECK(model.Survival(0, 100) > model.Survival(0, 200));
  CHECK(model.Survival(0, 60000) >= 0);
}

TEST_CASE("the model learns the median") {
  length_model model;
  Train(model, 2000, 400, 0.8, 1 << 20);
  CHECK(model.Survival(0, 400) == Approx(0.5).margin(0.06));
}

TEST_CASE("censored generations do not count as short ones") {
  length_model model;
  Train(model, 2000, 400, 0.8, 400);
  CHECK(model.Survival(0, 390) == Approx(0.5).margin(0.08));
}

TEST_CASE("a long generation is more likely to continue than a new one") {
  length_model model;
  Train(model, 2000, 300, 1.2, 1 << 20);
  CHECK(model.Survival(2000, 300) > model.Survival(0, 300));
}

TEST_CASE("a model without observations follows its parent") {
  length_model parent;
  Train(parent, 2000, 900, 0.5, 1 << 20);
  length_model child(&parent);
  CHECK(child.Survival(0, 600) == Approx(parent.Survival(0, 600)).margin(0.02));
}

}  // namespace wist
