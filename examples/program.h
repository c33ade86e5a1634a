#ifndef EXAMPLES_PROGRAM_H_
#define EXAMPLES_PROGRAM_H_

#include "operator_api/configuration_builder.h"

namespace wist::examples {

// Addresses of the targets of an example deployment. Engines listen on
// consecutive ports from `first_engine_port`, plain targets from
// `first_plain_port`.
struct deployment_addresses {
  std::string host = "127.0.0.1";
  std::uint16_t first_engine_port = 9100;
  std::uint16_t first_plain_port = 9200;
};

// Runs a program with which operators apply a configuration. Prints the
// complete configuration, its digest and how many lines differ from the active
// one. Applies it if `--apply` gives this digest, or without a check of the
// digest with `--apply-shown`. Returns the exit code of the program.
//
//   PROGRAM --platform HOST:PORT [--engine-port N] [--plain-port N]
//           [--apply DIGEST | --apply-shown] [--author NAME]
int RunProgram(
    int argc,
    char** argv,
    configuration_body (*build_configuration)(const deployment_addresses&));

}  // namespace wist::examples

#endif  // EXAMPLES_PROGRAM_H_
