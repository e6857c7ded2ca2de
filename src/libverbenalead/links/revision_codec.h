#ifndef VERBENALEAD_LINKS_REVISION_CODEC_H_
#define VERBENALEAD_LINKS_REVISION_CODEC_H_

#include <boost/json/object.hpp>

#include "base/failure.h"
#include "model/revision.h"

namespace verbenalead::links {

/// Decodes the fields `revision` and `era` of `object`. Processes of earlier
/// versions send no era; `default_era` is taken then.
Result<model::Revision> DecodeRevision(const boost::json::object& object,
                                       uint64_t default_era = 0);

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_REVISION_CODEC_H_
