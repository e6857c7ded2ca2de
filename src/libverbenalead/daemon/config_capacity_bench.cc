/// Measures the cost of one more resource, host, target or request in processor
/// time and memory, without network or threads, for docs/CAPACITY.md. Prints
/// `bench=capacity` lines.
#include <malloc.h>
#include <spdlog/fmt/fmt.h>

#include <ctime>

#include "base/catch_failure.h"
#include "base/log.h"
#include "daemon/config_messages.h"
#include "daemon/journal.h"
#include "decide/membership/target_watch.h"
#include "decide/placement/target_selection.h"
#include "model/call_builder.h"
#include "model/host_builder.h"

namespace verbenalead {
namespace {

constexpr uint64_t kSeed = 1;

double CpuMicroseconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 +
         static_cast<double>(now.tv_nsec) / 1e3;
}

size_t HeapBytes() {
  return mallinfo2().uordblks;
}

/// Returns the mean processor time of one call of `work`, in microseconds.
template <typename Work>
double Cost(int iterations, const Work& work) {
  const double begin = CpuMicroseconds();
  for (int i = 0; i < iterations; ++i)
    work(i);
  return (CpuMicroseconds() - begin) / iterations;
}

model::Change ChangeOf(uint64_t revision, size_t resources) {
  model::Change change;
  change.m_revision = revision;
  change.m_key = {"pool", "pool-" + std::to_string(revision % resources)};
  change.m_spec = R"({"version":"breakdowns-)" + std::to_string(revision) +
                  R"(","replicas":12,"note":"a spec of usual length"})";
  change.m_operation = "0f0f0f0f-0000-4000-8000-000000000000";
  change.m_operator = "ann";
  return change;
}

void MeasureConfig(size_t resources) {
  const size_t before = HeapBytes();
  daemon::ConfigStore store(nullptr);
  uint64_t revision = 0;
  while (revision < resources)
    store.ApplyChanges({ChangeOf(++revision, resources)});
  const size_t state = HeapBytes() - before;
  const double apply = Cost(
      200, [&](int) { store.ApplyChanges({ChangeOf(++revision, resources)}); });
  const std::string message = daemon::SerialiseConfigAfter(store, revision - 1);
  const double send = Cost(
      2000, [&](int) { daemon::SerialiseConfigAfter(store, revision - 1); });
  fmt::print(
      "bench=capacity role=all what=config resources={} state_bytes={} "
      "apply_us={:.1f} message_us={:.1f} message_bytes={} whole_bytes={}\n",
      resources, state, apply, send, message.size(),
      decide::ToJson(*store.current()).size());
}

std::vector<model::Host> Hosts(size_t entries, size_t targets) {
  std::vector<model::Host> hosts;
  for (size_t i = 0; i < entries + targets; ++i) {
    model::HostBuilder builder;
    builder.Name("host-" + std::to_string(i))
        .Region(i % 2 == 0 ? "east" : "west")
        .Pool("pool-" + std::to_string(i / 2 % 10))
        .Role(i < entries ? model::HostRole::kEntry : model::HostRole::kTarget);
    hosts.push_back(builder.Build());
  }
  return hosts;
}

void MeasureMembers(size_t entries, size_t targets) {
  const auto hosts = Hosts(entries, targets);
  const size_t before = HeapBytes();
  decide::TargetWatchState state;
  state.m_self = hosts[0].name();
  state.m_region = hosts[0].region();
  decide::SetHosts(state, hosts);
  const size_t watched = decide::TargetsToWatch(state, TimePoint()).size();
  const size_t bytes = HeapBytes() - before;
  const double list = Cost(20, [&](int) { decide::SetHosts(state, hosts); });
  const double choose =
      Cost(20, [&](int) { decide::TargetsToWatch(state, TimePoint()); });
  fmt::print(
      "bench=capacity role=entry what=members entries={} targets={} "
      "watched={} state_bytes={} list_us={:.0f} choose_us={:.0f}\n",
      entries, targets, watched, bytes, list, choose);
}

model::TargetReport ReportOf(size_t number) {
  model::TargetReport report;
  report.m_name = "target-" + std::to_string(number);
  report.m_pool = "drafting";
  report.m_peer = {"10.0.0.1", 8200};
  report.m_incarnation = 1764700000000;
  report.m_capacity = 8;
  report.m_open = true;
  report.m_version = "breakdowns-1";
  return report;
}

void MeasurePlacement(size_t targets) {
  const size_t before = HeapBytes();
  decide::TargetSelectionState state;
  for (size_t i = 0; i < targets; ++i)
    decide::ApplyReport(state, ReportOf(i), TimePoint());
  const size_t bytes = HeapBytes() - before;
  const std::string text = ToJson(ReportOf(1));
  const double report = Cost(5000, [&](int i) {
    auto parsed = CatchFailure([&] { return model::ParseTargetReport(text); });
    parsed->m_running = static_cast<uint32_t>(i % 8);
    decide::ApplyReport(state, *parsed, TimePoint());
  });
  const double write = Cost(5000, [&](int) { ToJson(ReportOf(1)); });
  const model::Call call =
      model::CallBuilder().Id("r-1").Organisation("acme").Build();
  decide::Random random(kSeed);
  const double placement = Cost(2000, [&](int) {
    decide::ChooseTarget(state, call, {}, Duration::zero(), TimePoint(),
                         random);
  });
  fmt::print(
      "bench=capacity role=entry what=placement targets={} state_bytes={} "
      "report_us={:.1f} report_bytes={} place_us={:.1f}\n",
      targets, bytes, report, text.size(), placement);
  fmt::print("bench=capacity role=target what=report report_us={:.1f}\n",
             write);
}

void MeasureJournal(size_t requests) {
  constexpr size_t kLines = 4;
  const size_t before = HeapBytes();
  daemon::Journal journal("target-1", requests);
  const double record = Cost(static_cast<int>(requests * kLines), [&](int i) {
    journal.Record("request-" + std::to_string(i / kLines),
                   LogLine("placed")
                       .With("target", "target-1")
                       .With("reason", "cached prefix, load 3 of 8"));
  });
  fmt::print(
      "bench=capacity role=all what=journal requests={} lines={} "
      "state_bytes={} record_us={:.2f}\n",
      requests, kLines, HeapBytes() - before, record);
}

}  // namespace
}  // namespace verbenalead

int main() {
  using namespace verbenalead;
  StartLog("config_capacity_bench", "warn");
  for (const size_t resources : {10, 100, 1000})
    MeasureConfig(resources);
  MeasureMembers(8, 24);
  MeasureMembers(32, 128);
  MeasureMembers(128, 512);
  MeasureMembers(630, 1700);
  for (const size_t targets : {8, 32, 128})
    MeasurePlacement(targets);
  for (const size_t requests : {500, 5000, 20000})
    MeasureJournal(requests);
  return 0;
}
