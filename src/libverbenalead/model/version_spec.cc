#include "model/version_spec.h"

#include <boost/json.hpp>

#include "model/json_fields.h"

namespace verbenalead::model {

Result<VersionSpec> ParseVersionSpec(const std::string& name,
                                     std::string_view text) {
  BOOST_LEAF_AUTO(object, ParseObject(text, "version"));
  VersionSpec spec;
  spec.m_name = name;
  BOOST_LEAF_ASSIGN(spec.m_model, TextField(object, "model"));
  BOOST_LEAF_ASSIGN(spec.m_weights, TextField(object, "weights"));
  BOOST_LEAF_ASSIGN(spec.m_manifest, TextField(object, "manifest"));
  BOOST_LEAF_AUTO(manifest_digest, TextField(object, "manifest_digest"));
  BOOST_LEAF_ASSIGN(spec.m_manifest_digest, ParseDigest(manifest_digest));
  BOOST_LEAF_AUTO(digest, TextField(object, "digest"));
  BOOST_LEAF_ASSIGN(spec.m_digest, ParseDigest(digest));
  return spec;
}

}  // namespace verbenalead::model
