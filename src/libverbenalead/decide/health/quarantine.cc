#include "decide/health/quarantine.h"

#include <algorithm>
#include <utility>

#include "base/stable_hash.h"

namespace verbenalead::decide {
namespace {

void EvictExpired(QuarantineState& state, TimePoint now) {
  std::erase_if(state.m_crashes, [&](auto& entry) {
    return std::all_of(
        entry.second.begin(), entry.second.end(), [&](const auto& crash) {
          return now - crash.second > state.m_limits.m_quarantine_time;
        });
  });
  std::erase_if(state.m_cleared, [&](const auto& entry) {
    return now - entry.second > state.m_limits.m_quarantine_time;
  });
}

void StoreCrash(QuarantineState& state,
                const CrashRecord& record,
                TimePoint now) {
  if (state.m_crashes.size() >= kMaxTrackedRequests)
    EvictExpired(state, now);
  if (state.m_crashes.size() >= kMaxTrackedRequests)
    return;
  TimePoint& at = state.m_crashes[record.m_key][record.m_target];
  at = std::max(at, record.m_at);
}

}  // namespace

void RecordCrash(QuarantineState& state,
                 uint64_t key,
                 const std::string& target,
                 TimePoint now) {
  const CrashRecord record{key, target, now};
  StoreCrash(state, record, now);
  if (state.m_unsent.size() < kMaxTrackedRequests)
    state.m_unsent.push_back(record);
}

uint64_t RequestKey(const std::string& organisation,
                    const std::string& method,
                    const std::string& path,
                    const std::string& body) {
  return StableHash().Add(organisation).Add(method).Add(path).Add(body).value();
}

void RecordSuccess(QuarantineState& state, uint64_t key, TimePoint now) {
  if (state.m_crashes.erase(key) > 0 &&
      state.m_cleared.size() < kMaxTrackedRequests)
    state.m_cleared[key] = now;
}

void RemoveCrashesOf(QuarantineState& state, const std::string& target) {
  for (auto& [key, crashes] : state.m_crashes)
    crashes.erase(target);
  std::erase_if(state.m_crashes,
                [](const auto& entry) { return entry.second.empty(); });
}

bool IsQuarantined(const QuarantineState& state, uint64_t key, TimePoint now) {
  auto found = state.m_crashes.find(key);
  if (found == state.m_crashes.end())
    return false;
  const auto recent = std::count_if(
      found->second.begin(), found->second.end(), [&](const auto& crash) {
        return now - crash.second <= state.m_limits.m_quarantine_time;
      });
  return static_cast<size_t>(recent) >= state.m_limits.m_crashes;
}

std::vector<CrashRecord> TakeCrashRecords(QuarantineState& state) {
  return std::exchange(state.m_unsent, {});
}

void MergeCrashRecords(QuarantineState& state,
                       const std::vector<CrashRecord>& records,
                       TimePoint now) {
  for (const CrashRecord& record : records) {
    const auto cleared = state.m_cleared.find(record.m_key);
    if (cleared == state.m_cleared.end() ||
        now - cleared->second > state.m_limits.m_quarantine_time)
      StoreCrash(state, record, now);
  }
}

}  // namespace verbenalead::decide
