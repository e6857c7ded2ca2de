#include "target/chunk_server.h"

#include <cstdlib>

#include "base/log.h"
#include "target/chunk_paths.h"

namespace verbenalead::target {
namespace {

/// Chunks are sent in pieces of this many bytes, and while there are live calls
/// at this share of the link's rate. Events of live streams use the same link
/// and would be delayed behind whole chunks.
constexpr size_t kUploadPieceBytes = 4096;
constexpr double kUploadShare = 0.8;
/// Unused time that the pacer may make up for.
constexpr Duration kUploadCredit = 20ms;

/// Reads the fields about the requesting host from a request for `chunk`.
decide::UploadRequest ParseUploadRequest(const wire::Request& request,
                                         uint32_t chunk) {
  decide::UploadRequest upload;
  upload.m_chunk = chunk;
  upload.m_other_region = wire::QueryValue(request, kRemoteField) == "1";
  upload.m_chunk_count = static_cast<uint32_t>(
      std::strtoul(wire::QueryValue(request, kHeldField).c_str(), nullptr, 10));
  return upload;
}

uint64_t UploadRate(const TargetOptions& options) {
  return static_cast<uint64_t>(static_cast<double>(options.m_link_rate) *
                               kUploadShare);
}

}  // namespace

ChunkServer::ChunkServer(TargetState& state,
                         platform::EngineClient& engine,
                         std::function<bool()> has_calls,
                         OnCorruptChunk on_corrupt_chunk)
    : m_state(state),
      m_engine(engine),
      m_has_calls(std::move(has_calls)),
      m_on_corrupt_chunk(std::move(on_corrupt_chunk)),
      m_upload_pacer(UploadRate(state.m_options), kUploadCredit) {}

Awaitable<void> ChunkServer::Respond(const wire::Request& request,
                                     wire::ResponseWriter& caller) {
  if (const CachedVersion* cached = FindDigests(request.m_path)) {
    co_await caller.Send(wire::Response(200, {}, FormatDigests(*cached)));
    co_return;
  }
  const auto name = FindChunk(wire::PathOf(request));
  if (!name) {
    co_await caller.Send(wire::Response(404, {}, ""));
    co_return;
  }
  const uint64_t id = m_admission.NewId();
  co_await m_admission.Wait(id, name->m_version,
                            ParseUploadRequest(request, name->m_chunk));
  if (!caller.disconnected())
    co_await Upload(*name, caller);
  m_admission.End(id);
}

Awaitable<void> ChunkServer::Upload(ChunkId name,
                                    wire::ResponseWriter& caller) {
  const std::shared_ptr<const std::string> bytes = co_await ReadChunk(name);
  if (!bytes) {
    co_await caller.Send(wire::Response(404, {}, ""));
    co_return;
  }
  wire::ResponseHead head(200, {{"content-type", "application/octet-stream"}});
  if (!co_await caller.Start(std::move(head)))
    co_return;
  for (size_t begin = 0; begin < bytes->size(); begin += kUploadPieceBytes) {
    std::string piece = bytes->substr(begin, kUploadPieceBytes);
    // Without live calls there are no events that the chunks could delay.
    if (m_has_calls())
      co_await m_upload_pacer.Acquire(piece.size());
    if (!co_await caller.Write(std::move(piece)))
      co_return;
  }
  co_await caller.Finish({});
}

const CachedVersion* ChunkServer::FindDigests(const std::string& path) const {
  for (const auto& [version, cached] : m_state.m_cache.versions()) {
    if (m_state.m_engine &&
        path == DigestsPath(m_state.m_engine->m_model, version))
      return &cached;
  }
  return nullptr;
}

std::optional<ChunkServer::ChunkId> ChunkServer::FindChunk(
    const std::string& path) const {
  for (const auto& [version, cached] : m_state.m_cache.versions()) {
    const std::string prefix = ChunkPrefix(version);
    if (!path.starts_with(prefix))
      continue;
    const uint64_t number =
        std::strtoull(path.c_str() + prefix.size(), nullptr, 10);
    if (number < cached.m_chunks.size() && cached.m_chunks[number].IsPresent())
      return ChunkId{version, static_cast<uint32_t>(number)};
  }
  return std::nullopt;
}

Awaitable<std::shared_ptr<const std::string>> ChunkServer::ReadChunk(
    ChunkId name) {
  // The version may have been removed while the upload waited.
  const CachedVersion* cached = m_state.m_cache.Find(name.m_version);
  if (!cached)
    co_return nullptr;
  const CachedVersion::Chunk& chunk = cached->m_chunks[name.m_chunk];
  if (chunk.m_staged)
    co_return co_await ReadStaged(name.m_version, name.m_chunk);
  co_return chunk.m_bytes;
}

Awaitable<std::shared_ptr<const std::string>> ChunkServer::ReadStaged(
    uint64_t version,
    uint32_t chunk) {
  auto bytes = co_await m_engine.ReadStaged(m_state.m_engine->m_model, chunk);
  if (!bytes)
    co_return nullptr;
  if (!m_state.m_cache.VerifyStaged(version, chunk, *bytes)) {
    LogLine("staged_chunk_spoilt")
        .With("version", version)
        .With("chunk", uint64_t{chunk})
        .Info();
    m_on_corrupt_chunk(version, chunk);
    co_return nullptr;
  }
  co_return std::make_shared<const std::string>(std::move(*bytes));
}

std::string ChunkServer::ChunkPrefix(uint64_t version) const {
  const std::string path =
      ChunkPath(m_state.m_engine ? m_state.m_engine->m_model : "", version, 0);
  return path.substr(0, path.rfind('/') + 1);
}

}  // namespace verbenalead::target
