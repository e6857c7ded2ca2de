#include "daemon/weights_store.h"

namespace verbenalead::daemon {
namespace {

boost::leaf::error_id Fail(FailureCode code,
                           const std::string& step,
                           const std::string& reason) {
  return boost::leaf::new_error(Failure{code, step, "", reason});
}

}  // namespace

Result<void> WeightsStore::Reserve(const model::Manifest& manifest,
                                   std::string text) {
  std::lock_guard lock(m_mutex);
  if (m_versions.contains(manifest.digest()))
    return {};
  if (m_reserved + manifest.size() > m_max_bytes) {
    return Fail(FailureCode::kRefused, "hold weights",
                std::to_string(manifest.size()) + " bytes don't fit beside " +
                    std::to_string(m_reserved) + " held; the limit is " +
                    std::to_string(m_max_bytes));
  }
  m_reserved += manifest.size();
  Version& version = m_versions[manifest.digest()];
  version.m_manifest = manifest;
  version.m_text = std::move(text);
  version.m_chunks.resize(manifest.chunk_count());
  return {};
}

Result<void> WeightsStore::Put(const Digest& digest,
                               uint32_t index,
                               std::string bytes) {
  Digest declared;
  {
    std::lock_guard lock(m_mutex);
    auto found = m_versions.find(digest);
    if (found == m_versions.end() ||
        index >= found->second.m_manifest.chunk_count())
      return Fail(FailureCode::kNotFound, "keep chunk", "no such version");
    declared = found->second.m_manifest.chunks()[index];
  }
  // Hashing takes most of the time, so it is done without the mutex.
  if (Sha256(bytes) != declared)
    return Fail(FailureCode::kCorrupt, "verify chunk", "wrong digest");
  auto chunk = std::make_shared<const std::string>(std::move(bytes));
  std::lock_guard lock(m_mutex);
  auto found = m_versions.find(digest);
  if (found == m_versions.end())
    return Fail(FailureCode::kNotFound, "keep chunk", "version dropped");
  Version& version = found->second;
  if (!version.m_chunks[index]) {
    version.m_chunks[index] = std::move(chunk);
    ++version.m_held_count;
    version.m_arrivals.push_back(index);
  }
  return {};
}

WeightsStore::Chunk WeightsStore::Get(const Digest& digest,
                                      uint32_t index) const {
  std::lock_guard lock(m_mutex);
  auto found = m_versions.find(digest);
  if (found == m_versions.end() || index >= found->second.m_chunks.size())
    return nullptr;
  return found->second.m_chunks[index];
}

std::optional<model::Manifest> WeightsStore::GetManifest(
    const Digest& digest) const {
  std::lock_guard lock(m_mutex);
  auto found = m_versions.find(digest);
  if (found == m_versions.end())
    return std::nullopt;
  return found->second.m_manifest;
}

std::string WeightsStore::ManifestText(const Digest& digest) const {
  std::lock_guard lock(m_mutex);
  auto found = m_versions.find(digest);
  return found == m_versions.end() ? std::string() : found->second.m_text;
}

std::vector<bool> WeightsStore::HeldChunkFlags(const Digest& digest) const {
  std::lock_guard lock(m_mutex);
  std::vector<bool> have;
  auto found = m_versions.find(digest);
  if (found == m_versions.end())
    return have;
  for (const Chunk& chunk : found->second.m_chunks)
    have.push_back(chunk != nullptr);
  return have;
}

std::string WeightsStore::HeldChunkBits(const Digest& digest) const {
  const std::vector<bool> have = HeldChunkFlags(digest);
  std::string bits((have.size() + 7) / 8, '\0');
  for (size_t i = 0; i < have.size(); ++i) {
    if (have[i])
      bits[i / 8] = static_cast<char>(bits[i / 8] | 1 << (i % 8));
  }
  return bits;
}

std::vector<uint32_t> WeightsStore::ArrivalsSince(const Digest& digest,
                                                  size_t first) const {
  std::lock_guard lock(m_mutex);
  auto found = m_versions.find(digest);
  if (found == m_versions.end() || first >= found->second.m_arrivals.size())
    return {};
  const std::vector<uint32_t>& all = found->second.m_arrivals;
  return {all.begin() + static_cast<std::ptrdiff_t>(first), all.end()};
}

uint32_t WeightsStore::HeldChunkCount(const Digest& digest) const {
  std::lock_guard lock(m_mutex);
  auto found = m_versions.find(digest);
  return found == m_versions.end() ? 0 : found->second.m_held_count;
}

void WeightsStore::Drop(const Digest& digest) {
  std::lock_guard lock(m_mutex);
  auto found = m_versions.find(digest);
  if (found == m_versions.end())
    return;
  m_reserved -= found->second.m_manifest.size();
  m_versions.erase(found);
}

std::vector<Digest> WeightsStore::Versions() const {
  std::lock_guard lock(m_mutex);
  std::vector<Digest> digests;
  for (const auto& [digest, version] : m_versions)
    digests.push_back(digest);
  return digests;
}

}  // namespace verbenalead::daemon
