#ifndef EXAMPLES_PROGRAM_H_
#define EXAMPLES_PROGRAM_H_

#include "operator_api/configuration_builder.h"

namespace wist::examples {

// Where the targets of a deployment listen. Real programs know; the examples
// number their ports from `first_engine_port` and `first_plain_port` on.
struct deployment_addresses {
  std::string host = "127.0.0.1";
  std::uint16_t first_engine_port = 9100;
  std::uint16_t first_plain_port = 9200;
};

// Runs an operators' program: prints the full configuration, its digest and
// the difference to what is in force, and applies it if `--apply DIGEST`
// names the digest that was approved.
//
//   PROGRAM --platform HOST:PORT [--engine-port N] [--plain-port N]
//           [--apply DIGEST | --apply-shown] [--author NAME]
int RunProgram(int argc,
               char** argv,
               configuration_body (*build)(const deployment_addresses&));

}  // namespace wist::examples

#endif  // EXAMPLES_PROGRAM_H_
