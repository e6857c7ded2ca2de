#include "target/chunk_stager.h"

#include <optional>

#include "base/log.h"
#include "target/staged_chunk_reader.h"

namespace verbenalead::target {
namespace {

/// A version that `FindStaged` read back within this time is not read again
/// before the load. A second read would keep the replica out of service for
/// longer after a power failure.
constexpr Duration kMaxVerificationAge = 1s;

}  // namespace

Awaitable<void> ChunkStager::FindStaged(uint64_t version) {
  const TimePoint begun = Now();
  const Duration begun_by_boot_clock = m_state.m_boot_now();
  const StagedChunkHandler handle = [&](uint32_t chunk, const auto& bytes) {
    if (!bytes)
      return bytes.error().m_code == FailureCode::kNotFound;
    if (m_state.m_cache.VerifyStaged(version, chunk, *bytes))
      m_version = version;
    return true;
  };
  const model::EngineProfile profile = *m_state.m_engine;
  co_await ReadStagedChunks(m_engine, profile, handle);
  if (m_state.m_cache.Staged(version)) {
    m_verified_version = version;
    m_verified_at = begun_by_boot_clock;
    RecordReadBack(version, begun_by_boot_clock);
  }
  LogLine("staged_adopted")
      .With("version", version)
      .With("chunks",
            static_cast<uint64_t>(m_state.m_cache.Held(version).size()))
      .With("ms", ToMilliseconds(Now() - begun))
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
  m_read_back_version = 0;
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
      m_state.m_boot_now() - m_verified_at < kMaxVerificationAge &&
      m_state.m_cache.Staged(version))
    co_return true;
  const TimePoint begun = Now();
  const Duration begun_by_boot_clock = m_state.m_boot_now();
  uint32_t valid_chunks = 0;
  uint64_t invalid_chunks = 0;
  std::optional<Failure> failure;
  const StagedChunkHandler handle = [&](uint32_t chunk, const auto& bytes) {
    if (bytes && m_state.m_cache.VerifyStaged(version, chunk, *bytes)) {
      ++valid_chunks;
      return true;
    }
    if (!bytes && bytes.error().m_code != FailureCode::kNotFound) {
      failure = bytes.error();
      return false;
    }
    m_state.m_cache.RecordUnstaged(version, chunk);
    ++invalid_chunks;
    return true;
  };
  const model::EngineProfile profile = *m_state.m_engine;
  co_await ReadStagedChunks(m_engine, profile, handle);
  if (failure) {
    LogLine("not_verified").With("version", version).With(*failure).Warn();
    co_return false;
  }
  LogLine("staged")
      .With("version", version)
      .With("spoilt", invalid_chunks)
      .With("ms", ToMilliseconds(Now() - begun))
      .Info();
  if (valid_chunks != profile.m_chunks)
    co_return false;
  RecordReadBack(version, begun_by_boot_clock);
  co_return true;
}

void ChunkStager::RecordReadBack(uint64_t version, Duration begun) {
  m_read_back_version = version;
  m_read_back_at = begun;
}

std::optional<Duration> ChunkStager::ReadBackAge(uint64_t version) const {
  if (version == 0 || m_read_back_version != version)
    return std::nullopt;
  return m_state.m_boot_now() - m_read_back_at;
}

void ChunkStager::ForgetAll() {
  m_state.m_cache.RecordAllUnstaged();
  m_version = 0;
  m_verified_version = 0;
  m_read_back_version = 0;
}

decide::StagedVersion ChunkStager::Held(uint64_t version) const {
  return {version, m_state.m_cache.HeldShare(version)};
}

}  // namespace verbenalead::target
