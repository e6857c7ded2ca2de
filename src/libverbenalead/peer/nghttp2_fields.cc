#include "peer/nghttp2_fields.h"

namespace verbenalead::peer {
namespace {

nghttp2_nv MakeField(const std::string& name, const std::string& value) {
  auto bytes = [](const std::string& text) {
    return reinterpret_cast<uint8_t*>(const_cast<char*>(text.data()));
  };
  return {bytes(name), bytes(value), name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

}  // namespace

std::vector<nghttp2_nv> MakeFields(const Fields& fields) {
  std::vector<nghttp2_nv> out;
  out.reserve(fields.size());
  for (const auto& [name, value] : fields)
    out.push_back(MakeField(name, value));
  return out;
}

Fields FieldsOf(const wire::Headers& headers) {
  return {headers.begin(), headers.end()};
}

}  // namespace verbenalead::peer
