#ifndef VERBENALEAD_DAEMON_TARGET_PEER_API_H_
#define VERBENALEAD_DAEMON_TARGET_PEER_API_H_

#include <functional>

#include "daemon/attempt_server.h"
#include "daemon/journal.h"
#include "daemon/upload_scheduler.h"
#include "daemon/weights_store.h"
#include "model/target_report.h"

namespace verbenalead::daemon {

/// What the target's API for our other processes asks of its daemon.
struct TargetPeerContext {
  AttemptServer* m_attempts = nullptr;
  WeightsStore* m_store = nullptr;
  Journal* m_journal = nullptr;
  UploadScheduler* m_uploads = nullptr;
  /// Region of this host.
  std::string m_region;
  std::function<model::TargetReport()> m_report;
  std::function<void()> m_drain;
};

/// What a target answers to our other processes:
///
///     POST /v1/attempt                one try of a request
///     POST /v1/void                   make an attempt void
///     GET  /v1/status                 TargetReport
///     POST /v1/drain                  take nothing new
///     GET  /v1/have/DIGEST            which chunks are here
///     GET  /v1/have/DIGEST?follow=1   the same, then each one that comes
///     GET  /v1/chunk/DIGEST/INDEX
///     GET  /v1/manifest/DIGEST
///     GET  /v1/trace/REQUEST
wire::Handler MakeTargetPeerApi(TargetPeerContext context);

/// What the engine beside the target reads, and the host's own monitoring:
///
///     GET /weights/DIGEST   the whole weights
///     GET /metrics          what `metrics` returns
wire::Handler MakeWeightsApi(const WeightsStore& store,
                             std::function<std::string()> metrics);

}  // namespace verbenalead::daemon

#endif  // VERBENALEAD_DAEMON_TARGET_PEER_API_H_
