#ifndef VERBENALEAD_ENTRY_CALL_RECORD_H_
#define VERBENALEAD_ENTRY_CALL_RECORD_H_

#include <utility>

#include "decide/call_progress.h"
#include "decide/event_splitter.h"
#include "decide/pool_call.h"
#include "entry/call_plan.h"
#include "entry/call_times.h"
#include "wire/request.h"

namespace verbenalead::entry {

/// One call, and how far it has come. All its attempts at replicas share it,
/// and keep it for as long as they need to let go of their places.
struct CallRecord {
  CallRecord(CallPlan plan, wire::Request request)
      : m_plan(std::move(plan)), m_request(std::move(request)) {}

  Duration Left(TimePoint now) const { return m_plan.m_deadline - now; }

  const CallPlan m_plan;
  const wire::Request m_request;
  decide::CallProgress m_progress;
  decide::PoolCall m_pool_call;
  /// The events that the caller got.
  decide::EventSplitter m_events;
  CallTimes m_times;
  /// Places taken at replicas.
  uint32_t m_attempts = 0;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_CALL_RECORD_H_
