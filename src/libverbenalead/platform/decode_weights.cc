#include "platform/decode_weights.h"

#include "platform/json_read.h"

namespace verbenalead::platform {

std::optional<DeclaredWeights> DecodeWeights(std::string_view text) {
  const auto object = ReadObject(text);
  const auto model = object ? ReadText(*object, "model") : std::nullopt;
  const auto version = object ? ReadCount(*object, "version") : std::nullopt;
  if (!model || !version)
    return std::nullopt;
  return DeclaredWeights{*model, *version};
}

}  // namespace verbenalead::platform
