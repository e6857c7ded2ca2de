#include "target/chunk_stager.h"

#include "base/log.h"

namespace verbenalead::target {
namespace {

/// A version that `FindStaged` read back within this time is not read again
/// before the load. A second read would keep the replica out of service for
/// longer after a power failure.
constexpr Duration kMaxVerificationAge = 1s;

}  // namespace

Awaitable<void> ChunkStager::FindStaged(uint64_t version) {
  const TimePoint begun = Now();
  const std::string model = m_state.m_engine->m_model;
  for (uint32_t chunk = 0; chunk < m_state.m_engine->m_chunks; ++chunk) {
    auto bytes = co_await m_engine.ReadStaged(model, chunk);
    if (!bytes && bytes.error().m_code != FailureCode::kNotFound)
      break;
    if (bytes && m_state.m_cache.VerifyStaged(version, chunk, *bytes))
      m_version = version;
  }
  if (m_state.m_cache.Staged(version)) {
    m_verified_version = version;
    m_verified_at = begun;
  }
  LogLine("staged_adopted")
      .With("version", version)
      .With("chunks",
            static_cast<uint64_t>(m_state.m_cache.Held(version).size()))
      .Info();
}

Awaitable<void> ChunkStager::Stage(uint64_t version, uint64_t loaded) {
  const std::vector<uint32_t> chunks = m_state.m_cache.UnstagedChunks(version);
  if (chunks.empty() ||
      !decide::MayOverwriteStaged(Held(m_version), Held(version), loaded))
    co_return;
  if (m_version != version) {
    LogLine("staging")
        .With("version", version)
        .With("before", m_version)
        .With("loaded", loaded)
        .Info();
    m_version = version;
  }
  for (uint32_t chunk : chunks) {
    if (!co_await Put(version, chunk))
      co_return;
  }
}

Awaitable<bool> ChunkStager::Put(uint64_t version, uint32_t chunk) {
  const CachedVersion* cached = m_state.m_cache.Find(version);
  if (!cached || !cached->m_chunks[chunk].m_bytes)
    co_return true;
  std::string bytes = *cached->m_chunks[chunk].m_bytes;
  auto put = co_await m_engine.Stage(m_state.m_engine->m_model, chunk,
                                     std::move(bytes));
  if (!put) {
    LogLine("not_staged")
        .With("version", version)
        .With("chunk", uint64_t{chunk})
        .With(put.error())
        .Warn();
    co_return false;
  }
  m_state.m_cache.RecordStaged(version, chunk);
  co_return true;
}

Awaitable<bool> ChunkStager::Verify(uint64_t version) {
  if (m_verified_version == version &&
      Now() - m_verified_at < kMaxVerificationAge &&
      m_state.m_cache.Staged(version))
    co_return true;
  const std::string model = m_state.m_engine->m_model;
  uint64_t invalid_chunks = 0;
  for (uint32_t chunk = 0; chunk < m_state.m_engine->m_chunks; ++chunk) {
    auto bytes = co_await m_engine.ReadStaged(model, chunk);
    if (bytes && m_state.m_cache.VerifyStaged(version, chunk, *bytes))
      continue;
    if (!bytes && bytes.error().m_code != FailureCode::kNotFound) {
      LogLine("not_verified")
          .With("version", version)
          .With(bytes.error())
          .Warn();
      co_return false;
    }
    m_state.m_cache.RecordUnstaged(version, chunk);
    ++invalid_chunks;
  }
  LogLine("staged")
      .With("version", version)
      .With("spoilt", invalid_chunks)
      .Info();
  co_return invalid_chunks == 0;
}

void ChunkStager::ForgetAll() {
  m_state.m_cache.RecordAllUnstaged();
  m_version = 0;
  m_verified_version = 0;
}

decide::StagedVersion ChunkStager::Held(uint64_t version) const {
  return {version, m_state.m_cache.HeldShare(version)};
}

}  // namespace verbenalead::target
