#ifndef VERBENALEAD_DECIDE_HEALTH_CRASH_VERDICT_H_
#define VERBENALEAD_DECIDE_HEALTH_CRASH_VERDICT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "decide/health/crash_evidence.h"

namespace verbenalead::decide {

/// The part that is to be blocked next; absent if the evidence against none is
/// sufficient.
std::optional<CrashEvidence> NextCause(const CrashCauses& causes,
                                       TimePoint now);

/// The parts to isolate, the likeliest cause first.
std::vector<uint64_t> PartsToIsolate(const CrashCauses& causes, TimePoint now);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_HEALTH_CRASH_VERDICT_H_
