#ifndef VERBENALEAD_DAEMON_TARGET_PEER_API_H_
#define VERBENALEAD_DAEMON_TARGET_PEER_API_H_

#include <functional>

#include "daemon/attempt_server.h"
#include "daemon/journal.h"
#include "daemon/upload_scheduler.h"
#include "daemon/weights_store.h"
#include "model/target_report.h"

namespace verbenalead::daemon {

/// The parts of the target daemon that its API for entries and other targets
/// uses.
struct TargetPeerContext {
  AttemptServer* m_attempts = nullptr;
  WeightsStore* m_store = nullptr;
  Journal* m_journal = nullptr;
  UploadScheduler* m_uploads = nullptr;
  /// The region of this host.
  std::string m_region;
  std::function<model::TargetReport()> m_report;
  std::function<void()> m_drain;
};

/// Returns the API of a target for entries, other targets and tools:
///
///     POST /v1/attempt                run one attempt of a request
///     POST /v1/void                   make an attempt void
///     GET  /v1/status                 TargetReport
///     POST /v1/drain                  refuse new attempts
///     GET  /v1/have/DIGEST            which chunks this host holds
///     GET  /v1/have/DIGEST?follow=1   the same, then each chunk that arrives
///     GET  /v1/chunk/DIGEST/INDEX
///     GET  /v1/manifest/DIGEST
///     GET  /v1/trace/REQUEST
wire::Handler MakeTargetPeerApi(TargetPeerContext context);

/// Returns the API for the engine on this host and for the host's monitoring:
///
///     GET /weights/DIGEST   the complete weights
///     GET /metrics          the text that `metrics` returns
wire::Handler MakeWeightsApi(const WeightsStore& store,
                             std::function<std::string()> metrics);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_TARGET_PEER_API_H_
