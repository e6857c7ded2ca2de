#include "links/revision_codec.h"

#include "model/json_fields.h"

namespace verbenalead::links {

Result<model::Revision> DecodeRevision(const boost::json::object& object,
                                       uint64_t default_era) {
  model::Revision revision;
  BOOST_LEAF_ASSIGN(revision.m_number,
                    model::NumberFieldOr(object, "revision", 0));
  BOOST_LEAF_ASSIGN(revision.m_era,
                    model::NumberFieldOr(object, "era", default_era));
  return revision;
}

}  // namespace verbenalead::links
