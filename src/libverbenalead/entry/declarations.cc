#include "entry/declarations.h"

#include <algorithm>

#include "base/boot_clock.h"
#include "base/log.h"
#include "decide/store/earliest_write.h"

namespace verbenalead::entry {
namespace {

/// New weights become mandatory this long before their bound ends. Calls that
/// have not started on older weights by then are cancelled. The margin covers
/// the lag of this entry's event loop and the time until the replica sees that
/// the call was cancelled. It covers no delay of the declaration, whose age is
/// counted, and no time for a call to start, since a call that has been sent is
/// cancelled as well.
constexpr Duration kBindingMargin = 300ms;
/// Weights that were declared before this process started, at an unknown time,
/// become mandatory this long after the start. After a loss of power no replica
/// has loaded any weights yet.
constexpr Duration kBindingAfterStart = 2500ms;
/// Declarations are reported for this long after they have become binding, so
/// that a process that starts then doesn't have to guess their dates.
constexpr Duration kReportBindingFor = std::chrono::minutes(1);
constexpr Duration kMillisecond = 1ms;

/// Time from a declaration of weights until they are mandatory.
Duration BindingDelay(const EntryState& state) {
  return state.m_options.m_weights_bound - kBindingMargin;
}

/// When a version that was declared at `declared_at` becomes mandatory.
TimePoint BindsAt(const EntryState& state, Duration declared_at) {
  return Now() + (declared_at + BindingDelay(state) - BootNow());
}

/// The versions of `versions` that are reported, without guessed dates.
std::map<uint64_t, decide::Declaration> ReportedVersions(
    const decide::DeclaredVersions& versions,
    TimePoint now) {
  auto reported = decide::BindingSince(versions, now - kReportBindingFor);
  // If the newest one has been binding for long, no older one matters.
  if (reported.size() == 1 &&
      reported.begin()->second.m_binds_at <= now - kReportBindingFor)
    return {};
  std::erase_if(reported,
                [](const auto& entry) { return !entry.second.m_date.m_known; });
  return reported;
}

/// The date in the store's present era; absent if the store's clock isn't
/// known. A date that was heard in this era is passed on as it was: converted
/// again and again, it would become earlier with each correction of the offset.
std::optional<model::StoreTime> StoreTimeOf(
    const EntryState& state,
    const decide::DeclarationDate& date) {
  const decide::StoreClock& clock = state.m_store_clock;
  if (!clock.m_offset)
    return std::nullopt;
  if (date.m_store_time && date.m_store_time->m_era == clock.m_era)
    return date.m_store_time;
  const Duration time = date.m_declared_at - *clock.m_offset;
  return model::StoreTime{clock.m_era, std::max(Duration(), time)};
}

void LogDeclaration(const EntryState& state,
                    const std::string& model,
                    uint64_t version,
                    const std::string& source,
                    uint64_t newest_before,
                    bool is_new) {
  const decide::Declaration& declaration =
      state.m_weights.at(model).m_declarations.at(version);
  LogLine(is_new ? "weights_declared" : "weights_redated")
      .With("model", model)
      .With("version", version)
      .With("before", newest_before)
      .With("source", source)
      .With("date", declaration.m_date.m_known ? "known" : "guessed")
      .With("since_start_ms", ToMilliseconds(Now() - state.m_started_at))
      .With("age_ms",
            ToMilliseconds(BootNow() - declaration.m_date.m_declared_at))
      .With("binding_in_ms", ToMilliseconds(declaration.m_binds_at - Now()))
      .Info();
}

}  // namespace

void ApplyDeclaration(EntryState& state,
                      const std::string& model,
                      uint64_t version,
                      decide::DeclarationDate date,
                      const std::string& source) {
  const decide::StoreClock& clock = state.m_store_clock;
  if (date.m_known && !date.m_store_time && clock.m_offset)
    date.m_store_time = StoreTimeOf(state, date);
  decide::DeclaredVersions& versions = state.m_weights[model];
  const uint64_t newest = decide::Newest(versions);
  const bool is_new = !versions.m_declarations.contains(version);
  if (!decide::Declare(versions, version, date,
                       BindsAt(state, date.m_declared_at)))
    return;
  ++state.m_declaration_changes;
  LogDeclaration(state, model, version, source, newest, is_new);
}

decide::DeclarationDate AssumedDate(const EntryState& state) {
  const Duration now = BootNow();
  const auto& proved_at = state.m_lease.m_proved_at;
  if (proved_at) {
    return {decide::EarliestWriteTime(now, now, proved_at),
            decide::IsWriteTimeProved(now, proved_at), std::nullopt};
  }
  const Duration started_at = now - (Now() - state.m_started_at);
  return {started_at + kBindingAfterStart - BindingDelay(state), false,
          std::nullopt};
}

std::vector<links::DeclarationReport> DeclarationsToReport(
    const EntryState& state,
    TimePoint now) {
  std::vector<links::DeclarationReport> reports;
  for (const auto& [model, versions] : state.m_weights) {
    for (const auto& [version, declaration] : ReportedVersions(versions, now)) {
      const auto time = StoreTimeOf(state, declaration.m_date);
      if (time)
        reports.push_back({model, version, *time});
    }
  }
  return reports;
}

std::vector<links::DeclarationAge> DeclarationAges(const EntryState& state,
                                                   const std::string& model,
                                                   TimePoint now) {
  std::vector<links::DeclarationAge> ages;
  const auto versions = state.m_weights.find(model);
  if (versions == state.m_weights.end())
    return ages;
  for (const auto& [version, declaration] :
       ReportedVersions(versions->second, now)) {
    const Duration age = BootNow() - declaration.m_date.m_declared_at;
    // Ages are sent in whole milliseconds, rounded up.
    ages.push_back({version, age + kMillisecond});
  }
  return ages;
}

void ApplyDeclarationReports(
    EntryState& state,
    const std::vector<links::DeclarationReport>& reports,
    const std::string& source) {
  for (const links::DeclarationReport& report : reports) {
    const auto declared_at =
        decide::ToLocal(state.m_store_clock, report.m_declared_at);
    if (!declared_at)
      continue;
    ApplyDeclaration(state, report.m_model, report.m_version,
                     {*declared_at, true, report.m_declared_at}, source);
  }
}

bool GuessesDeclarationDate(const EntryState& state, TimePoint now) {
  return std::any_of(state.m_weights.begin(), state.m_weights.end(),
                     [now](const auto& entry) {
                       return decide::HasGuessedDate(entry.second, now);
                     });
}

}  // namespace verbenalead::entry
