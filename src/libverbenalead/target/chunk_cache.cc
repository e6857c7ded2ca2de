#include "target/chunk_cache.h"

namespace verbenalead::target {
namespace {

/// The version that engines run and the one that is to replace it; a late host
/// may still want the former.
constexpr size_t kVersionsKept = 2;

}  // namespace

void ChunkCache::Begin(uint64_t version, std::vector<Digest> digests) {
  if (m_versions.contains(version))
    return;
  CachedVersion cached;
  cached.m_chunks.resize(digests.size());
  cached.m_digests = std::move(digests);
  m_versions.emplace(version, std::move(cached));
  while (m_versions.size() > kVersionsKept)
    m_versions.erase(m_versions.begin());
}

const CachedVersion* ChunkCache::Find(uint64_t version) const {
  const auto found = m_versions.find(version);
  return found == m_versions.end() ? nullptr : &found->second;
}

bool ChunkCache::Complete(uint64_t version) const {
  const CachedVersion* cached = Find(version);
  return cached && !cached->m_chunks.empty() &&
         cached->m_held == cached->m_chunks.size();
}

double ChunkCache::ShareHeld(uint64_t version) const {
  const CachedVersion* cached = Find(version);
  if (!cached || cached->m_chunks.empty())
    return 0;
  return static_cast<double>(cached->m_held) /
         static_cast<double>(cached->m_chunks.size());
}

std::vector<uint32_t> ChunkCache::Held(uint64_t version) const {
  std::vector<uint32_t> held;
  const CachedVersion* cached = Find(version);
  if (!cached)
    return held;
  for (uint32_t chunk = 0; chunk < cached->m_chunks.size(); ++chunk) {
    if (cached->m_chunks[chunk])
      held.push_back(chunk);
  }
  return held;
}

bool ChunkCache::Put(uint64_t version, uint32_t chunk, std::string bytes) {
  const auto found = m_versions.find(version);
  if (found == m_versions.end() || chunk >= found->second.m_chunks.size())
    return false;
  CachedVersion& cached = found->second;
  if (Sha256(bytes) != cached.m_digests[chunk])
    return false;
  if (!cached.m_chunks[chunk])
    ++cached.m_held;
  cached.m_chunks[chunk] =
      std::make_shared<const std::string>(std::move(bytes));
  return true;
}

}  // namespace verbenalead::target
