/// Prints the mean time of one placement, by load and by prefix:
///
///     bench=decide decision=place targets=200 by=load us=...
#include <cstdio>

#include "decide/placement/target_selection.h"
#include "model/call_builder.h"

namespace verbenalead::decide {
namespace {

constexpr int kTargets = 200;
constexpr int kRounds = 200000;
constexpr uint64_t kPrefixes = 1000;

TargetSelectionState MakePool(TimePoint now) {
  TargetSelectionState state;
  for (int i = 0; i < kTargets; ++i) {
    model::TargetReport report;
    report.m_name = "target-" + std::to_string(i);
    report.m_incarnation = 1;
    report.m_capacity = 16;
    report.m_running = static_cast<uint32_t>(i * 7 % 13);
    report.m_open = true;
    ApplyReport(state, report, now);
  }
  return state;
}

void Measure(bool by_prefix) {
  const TimePoint now = Now();
  TargetSelectionState state = MakePool(now);
  Random random;
  const std::set<std::string> tried;
  uint64_t placed = 0;
  Duration spent{};
  for (uint64_t i = 0; i < kRounds; ++i) {
    model::CallBuilder builder;
    builder.Organisation("o").Pool("p").ExpectedTokens(100);
    const model::Call call =
        builder.Prefix(by_prefix ? 1 + i * 7919 % kPrefixes : 0).Build();
    const TimePoint start = Now();
    const auto placement = ChooseTarget(state, call, tried, {}, now, random);
    spent += Now() - start;
    if (!placement)
      continue;
    ++placed;
    AttemptSent(state, placement->m_target, call, now);
    AttemptEnded(state, placement->m_target, call, TargetFeedback::kGood, 100ms,
                 now);
  }
  std::printf(
      "bench=decide decision=place targets=%d by=%s us=%.3f placed=%llu\n",
      kTargets, by_prefix ? "prefix" : "load",
      std::chrono::duration<double, std::micro>(spent).count() / kRounds,
      static_cast<unsigned long long>(placed));
}

}  // namespace
}  // namespace verbenalead::decide

int main() {
  verbenalead::decide::Measure(false);
  verbenalead::decide::Measure(true);
  return 0;
}
