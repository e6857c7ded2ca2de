#include "entry/store_return.h"

#include "base/boot_clock.h"
#include "base/log.h"

namespace verbenalead::entry {

bool NoteStoreEra(EntryState& state, uint64_t era, const std::string& source) {
  const uint64_t before = state.m_store_era.m_era;
  const bool follows = decide::RecordEra(state.m_store_era, era, BootNow());
  if (era > before)
    state.m_metrics.Set("store_era", "", static_cast<double>(era));
  if (follows) {
    state.m_metrics.Count("store_returns_total", "");
    LogLine("store_came_back")
        .With("era", era)
        .With("before", before)
        .With("source", source)
        .With("operator_revision", ToString(state.m_operator_revision))
        .Warn();
  }
  return era >= before;
}

void NotePeerEra(EntryState& state,
                 uint64_t era,
                 std::optional<Duration> age,
                 const std::string& host) {
  NoteStoreEra(state, era, host);
  if (age)
    decide::RecordEraSince(state.m_store_era, era, BootNow() - *age);
}

TimePoint StoreReturnedAt(const EntryState& state) {
  const auto& since = state.m_store_era.m_since;
  return since ? Now() - (BootNow() - *since) : TimePoint();
}

std::optional<Duration> StoreEraAge(const EntryState& state) {
  const auto& since = state.m_store_era.m_since;
  return since ? std::optional(BootNow() - *since) : std::nullopt;
}

void ApplyProof(EntryState& state, Duration proved_at) {
  if (decide::IsSettled(state.m_store_era, proved_at))
    decide::RenewLease(state.m_lease, proved_at);
}

}  // namespace verbenalead::entry
