#include "model/manifest.h"

#include <algorithm>
#include <boost/json.hpp>

#include "model/json_fields.h"
#include "model/manifest_builder.h"

namespace verbenalead::model {

namespace json = boost::json;

uint64_t Manifest::ChunkLength(uint32_t index) const {
  const uint64_t start = uint64_t{index} * m_chunk_size;
  return start >= m_size ? 0 : std::min(m_chunk_size, m_size - start);
}

std::string ToJson(const Manifest& manifest) {
  json::array chunks;
  for (const Digest& digest : manifest.chunks())
    chunks.emplace_back(ToString(digest));
  return json::serialize(json::object{{"whole", ToString(manifest.digest())},
                                      {"size", manifest.size()},
                                      {"chunk_size", manifest.chunk_size()},
                                      {"chunks", std::move(chunks)}});
}

Result<Manifest> ParseManifest(std::string_view text) {
  BOOST_LEAF_AUTO(object, ParseObject(text, "manifest"));
  BOOST_LEAF_AUTO(whole_text, TextField(object, "whole"));
  BOOST_LEAF_AUTO(weights_digest, ParseDigest(whole_text));
  BOOST_LEAF_AUTO(size, NumberField(object, "size"));
  BOOST_LEAF_AUTO(chunk_size, NumberField(object, "chunk_size"));
  const json::value* chunks = object.if_contains("chunks");
  if (chunks == nullptr || !chunks->is_array())
    return BadField("chunks", "a list of digests");
  ManifestBuilder builder;
  builder.WeightsDigest(weights_digest).Size(size).ChunkSize(chunk_size);
  for (const json::value& chunk : chunks->get_array()) {
    if (!chunk.is_string())
      return BadField("chunks", "a list of digests");
    BOOST_LEAF_AUTO(digest, ParseDigest(std::string(chunk.get_string())));
    builder.Chunk(digest);
  }
  return builder.Build();
}

}  // namespace verbenalead::model
