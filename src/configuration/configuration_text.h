#ifndef CONFIGURATION_CONFIGURATION_TEXT_H_
#define CONFIGURATION_CONFIGURATION_TEXT_H_

#include <stdexcept>
#include <string>
#include <vector>

#include "configuration/configuration_types.h"

namespace wist {

// Maximum size of a value in the platform's key-value service, in bytes.
inline constexpr std::size_t kMaxDocumentBytes = 1'000'000;

// Thrown for a text that is not a configuration; what() names the path of the
// invalid field.
class configuration_parse_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns `body` with each list sorted by id.
configuration_body Canonicalize(configuration_body body);

// Returns the canonical text of `body`: sorted, indented JSON. Two bodies have
// the same text if and only if they are equal in canonical form.
std::string CanonicalText(const configuration_body& body);

// Returns the SHA-256 of the canonical text.
std::string BodyDigest(const configuration_body& body);

std::string EncodeDocument(const configuration_document& document);

// Throws configuration_parse_error.
configuration_document DecodeDocument(const std::string& text);
configuration_body DecodeBody(const std::string& text);

// Returns all errors that make `body` unusable; empty if there are none.
std::vector<configuration_error> Validate(const configuration_body& body);

// Returns the lines of the canonical texts that differ, each with a leading '+'
// or '-'.
std::vector<std::string> DifferenceLines(const configuration_body& from,
                                         const configuration_body& to);

}  // namespace wist

#endif  // CONFIGURATION_CONFIGURATION_TEXT_H_
