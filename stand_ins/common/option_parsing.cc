#include "stand_ins/common/option_parsing.h"

#include <iostream>

namespace wist::stand_ins {

bool ParseOptions(int argc,
                  char** argv,
                  const boost::program_options::options_description& options) {
  namespace po = boost::program_options;
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  po::notify(values);
  if (values.count("help"))
    std::cout << options;
  return values.count("help") == 0;
}

}  // namespace wist::stand_ins
