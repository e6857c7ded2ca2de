#include "target/chunk_cache.h"

#include <algorithm>

namespace verbenalead::target {
namespace {

/// The version that engines run and the one that is to replace it: a host that
/// is behind may still request the former.
constexpr size_t kMaxVersions = 2;

using Chunk = CachedVersion::Chunk;

/// Numbers of the chunks of `version` that `which` selects; none if `version`
/// is null.
template <typename Which>
std::vector<uint32_t> FindChunkNumbers(const CachedVersion* version,
                                       Which which) {
  std::vector<uint32_t> numbers;
  if (!version)
    return numbers;
  for (uint32_t number = 0; number < version->m_chunks.size(); ++number) {
    if (which(version->m_chunks[number]))
      numbers.push_back(number);
  }
  return numbers;
}

bool IsPresent(const Chunk& chunk) {
  return chunk.IsPresent();
}

bool IsStaged(const Chunk& chunk) {
  return chunk.m_staged;
}

bool AreAll(const CachedVersion* version, bool (*which)(const Chunk&)) {
  return version && !version->m_chunks.empty() &&
         std::all_of(version->m_chunks.begin(), version->m_chunks.end(), which);
}

}  // namespace

void ChunkCache::AddVersion(uint64_t version,
                            const std::vector<Digest>& digests) {
  if (m_versions.contains(version))
    return;
  CachedVersion cached;
  cached.m_chunks.resize(digests.size());
  for (size_t number = 0; number < digests.size(); ++number)
    cached.m_chunks[number].m_digest = digests[number];
  m_versions.emplace(version, std::move(cached));
  while (m_versions.size() > kMaxVersions)
    m_versions.erase(m_versions.begin());
}

const CachedVersion* ChunkCache::Find(uint64_t version) const {
  const auto found = m_versions.find(version);
  return found == m_versions.end() ? nullptr : &found->second;
}

bool ChunkCache::Complete(uint64_t version) const {
  return AreAll(Find(version), IsPresent);
}

bool ChunkCache::Staged(uint64_t version) const {
  return AreAll(Find(version), IsStaged);
}

double ChunkCache::HeldShare(uint64_t version) const {
  const CachedVersion* cached = Find(version);
  if (!cached || cached->m_chunks.empty())
    return 0;
  return static_cast<double>(Held(version).size()) /
         static_cast<double>(cached->m_chunks.size());
}

std::vector<uint32_t> ChunkCache::Held(uint64_t version) const {
  return FindChunkNumbers(Find(version), IsPresent);
}

std::vector<uint32_t> ChunkCache::UnstagedChunks(uint64_t version) const {
  return FindChunkNumbers(Find(version), [](const Chunk& chunk) {
    return chunk.m_bytes && !chunk.m_staged;
  });
}

bool ChunkCache::Put(uint64_t version, uint32_t chunk, std::string bytes) {
  Chunk* found = FindChunk(version, chunk);
  if (!found || Sha256(bytes) != found->m_digest)
    return false;
  if (!found->IsPresent())
    found->m_bytes = std::make_shared<const std::string>(std::move(bytes));
  return true;
}

void ChunkCache::RecordStaged(uint64_t version, uint32_t chunk) {
  // The staging area holds one chunk per chunk number, so staging a chunk
  // overwrites that of the other version.
  for (auto& [other, cached] : m_versions) {
    if (chunk < cached.m_chunks.size())
      cached.m_chunks[chunk].m_staged = false;
  }
  Chunk* found = FindChunk(version, chunk);
  if (!found)
    return;
  found->m_staged = true;
  found->m_bytes.reset();
}

bool ChunkCache::VerifyStaged(uint64_t version,
                              uint32_t chunk,
                              const std::string& bytes) {
  Chunk* found = FindChunk(version, chunk);
  if (!found)
    return false;
  if (Sha256(bytes) != found->m_digest) {
    found->m_staged = false;
    return false;
  }
  RecordStaged(version, chunk);
  return true;
}

void ChunkCache::RecordUnstaged(uint64_t version, uint32_t chunk) {
  if (Chunk* found = FindChunk(version, chunk))
    found->m_staged = false;
}

void ChunkCache::RecordAllUnstaged() {
  for (auto& [version, cached] : m_versions) {
    for (Chunk& chunk : cached.m_chunks)
      chunk.m_staged = false;
  }
}

CachedVersion::Chunk* ChunkCache::FindChunk(uint64_t version, uint32_t chunk) {
  const auto found = m_versions.find(version);
  if (found == m_versions.end() || chunk >= found->second.m_chunks.size())
    return nullptr;
  return &found->second.m_chunks[chunk];
}

}  // namespace verbenalead::target
