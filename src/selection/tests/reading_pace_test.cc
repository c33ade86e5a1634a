#include <catch2/catch.hpp>

#include "selection/reading_pace.h"

using namespace wist;

TEST_CASE("the pace of reading is learnt from first outputs") {
  reading_pace pace;
  for (int i = 0; i < 200; ++i)
    pace.OnFirstOutput(3000, milliseconds(600));
  const double learnt = ToMilliseconds(pace.TimeFor(6000));
  CHECK(learnt > 1150);
  CHECK(learnt < 1250);
}

TEST_CASE("a single wait for memory hardly changes the pace") {
  reading_pace pace;
  const microseconds before = pace.TimeFor(3000);
  pace.OnFirstOutput(3000, seconds(20));
  CHECK(pace.TimeFor(3000) < before * 11 / 10);
  pace.OnFirstOutput(0, seconds(20));
  CHECK(pace.TimeFor(3000) < before * 11 / 10);
}
