#ifndef VERBENALEAD_PEER_NGHTTP2_FIELDS_H_
#define VERBENALEAD_PEER_NGHTTP2_FIELDS_H_

#include <nghttp2/nghttp2.h>

#include <string>
#include <utility>
#include <vector>

#include "wire/headers.h"

namespace verbenalead::peer {

/// Header fields in the order in which they are sent.
using Fields = std::vector<std::pair<std::string, std::string>>;

/// Converts `fields` for nghttp2. The result points into `fields`, which must
/// outlive it.
std::vector<nghttp2_nv> MakeFields(const Fields& fields);

Fields FieldsOf(const wire::Headers& headers);

}  // namespace verbenalead::peer

#endif  // VERBENALEAD_PEER_NGHTTP2_FIELDS_H_
