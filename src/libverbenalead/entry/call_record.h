#ifndef VERBENALEAD_ENTRY_CALL_RECORD_H_
#define VERBENALEAD_ENTRY_CALL_RECORD_H_

#include <utility>

#include "decide/admission/call_progress.h"
#include "decide/attempts/event_splitter.h"
#include "decide/placement/pool_call.h"
#include "entry/call_plan.h"
#include "entry/call_retries.h"
#include "entry/call_times.h"
#include "wire/request.h"

namespace verbenalead::entry {

/// One call and its progress. All its attempts at replicas share the record. An
/// attempt holds it until it has released its slot, which may be after the call
/// itself has ended.
struct CallRecord {
  CallRecord(EntryState& state, CallPlan plan, wire::Request request)
      : m_plan(std::move(plan)),
        m_request(std::move(request)),
        m_retries(state, m_plan.m_service, m_plan.m_call.m_id) {}

  /// Time left until the call's deadline; negative after it.
  Duration Left(TimePoint now) const { return m_plan.m_deadline - now; }

  const CallPlan m_plan;
  const wire::Request m_request;
  CallRetries m_retries;
  decide::CallProgress m_progress;
  decide::PoolCall m_pool_call;
  /// Splits the answer into events; holds the id of the last event that was
  /// passed to the caller, after which another replica resumes the stream.
  decide::EventSplitter m_events;
  CallTimes m_times;
  /// Number of attempts that got a slot at a replica.
  uint32_t m_attempts = 0;
  /// A replica crashed under the call, as far as can be told.
  bool m_replica_crashed = false;
};

}  // namespace verbenalead::entry

#endif  // VERBENALEAD_ENTRY_CALL_RECORD_H_
