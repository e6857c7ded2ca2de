#ifndef VERBENALEAD_PLATFORM_DECODE_WEIGHTS_H_
#define VERBENALEAD_PLATFORM_DECODE_WEIGHTS_H_

#include <optional>
#include <string>
#include <string_view>

namespace verbenalead::platform {

/// The version of a model's weights that the operator has declared as the one
/// to serve.
struct DeclaredWeights {
  std::string m_model;
  uint64_t m_version = 0;

  friend bool operator==(const DeclaredWeights&,
                         const DeclaredWeights&) = default;
};

/// Returns nothing if `text` can't be decoded.
std::optional<DeclaredWeights> DecodeWeights(std::string_view text);

}  // namespace verbenalead::platform

#endif  // VERBENALEAD_PLATFORM_DECODE_WEIGHTS_H_
