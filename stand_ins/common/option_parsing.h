#ifndef STAND_INS_COMMON_OPTION_PARSING_H_
#define STAND_INS_COMMON_OPTION_PARSING_H_

#include <boost/program_options.hpp>

namespace wist::stand_ins {

// Parses the command line into the variables bound to `options`. Prints the
// options and returns false for --help. Throws boost::program_options::error if
// the command line is invalid.
bool ParseOptions(int argc,
                  char** argv,
                  const boost::program_options::options_description& options);

}  // namespace wist::stand_ins

#endif  // STAND_INS_COMMON_OPTION_PARSING_H_
