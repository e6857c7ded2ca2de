#include "decide/quarantine.h"

#include <algorithm>
#include <utility>

namespace verbenalead::decide {
namespace {

void ForgetOld(QuarantineState& state, TimePoint now) {
  std::erase_if(state.m_crashes, [&](auto& entry) {
    return std::all_of(
        entry.second.begin(), entry.second.end(),
        [&](const auto& crash) { return now - crash.second > kSetAsideFor; });
  });
}

void Keep(QuarantineState& state, const CrashNote& note, TimePoint now) {
  if (state.m_crashes.size() >= kMaxKeys)
    ForgetOld(state, now);
  if (state.m_crashes.size() >= kMaxKeys)
    return;
  TimePoint& at = state.m_crashes[note.m_key][note.m_target];
  at = std::max(at, note.m_at);
}

}  // namespace

void NoteCrash(QuarantineState& state,
               uint64_t key,
               const std::string& target,
               TimePoint now) {
  const CrashNote note{key, target, now};
  Keep(state, note, now);
  if (state.m_news.size() < kMaxKeys)
    state.m_news.push_back(note);
}

void NoteSuccess(QuarantineState& state, uint64_t key) {
  state.m_crashes.erase(key);
}

bool IsSetAside(const QuarantineState& state, uint64_t key, TimePoint now) {
  auto found = state.m_crashes.find(key);
  if (found == state.m_crashes.end())
    return false;
  const auto recent = std::count_if(
      found->second.begin(), found->second.end(),
      [&](const auto& crash) { return now - crash.second <= kSetAsideFor; });
  return static_cast<size_t>(recent) >= kCrashesToSetAside;
}

std::vector<CrashNote> News(QuarantineState& state) {
  return std::exchange(state.m_news, {});
}

void Merge(QuarantineState& state,
           const std::vector<CrashNote>& notes,
           TimePoint now) {
  for (const CrashNote& note : notes)
    Keep(state, note, now);
}

}  // namespace verbenalead::decide
