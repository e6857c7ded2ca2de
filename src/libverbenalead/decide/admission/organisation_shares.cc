#include "decide/admission/organisation_shares.h"

#include <algorithm>

namespace verbenalead::decide {
namespace {

/// Name of the shared account; no organisation has it.
constexpr char kOthers[] = "\n";
/// Lower bound of a call's cost, so that calls of unknown cost count as well.
constexpr double kMinCostSeconds = 0.001;
/// Limit of the time that an organisation is ahead of the others. One that was
/// lent the whole capacity gets slots again within this time of replica work.
constexpr double kMaxAheadSeconds = 1;
/// Limit of the credit, in seconds of replica time, that an organisation keeps
/// while others are lent what it leaves. With no credit, one that always asks
/// for a little less than its share would lose its turn with each slot that is
/// lent; with unlimited credit, one that was idle would get all slots when it
/// returns.
constexpr double kMaxBehindSeconds = 1;

double CurrentTime(const OrganisationShares& shares, int rank) {
  const auto found = shares.m_now.find(rank);
  return found == shares.m_now.end() ? 0 : found->second;
}

/// Account of the organisation: its own, or the shared one if there are too
/// many.
OrganisationShares::Key AccountOf(const OrganisationShares& shares,
                                  int rank,
                                  const std::string& organisation) {
  OrganisationShares::Key key(rank, organisation);
  if (shares.m_times.size() < kMaxShares || shares.m_times.contains(key))
    return key;
  return {rank, kOthers};
}

double TimeOf(const OrganisationShares& shares,
              const OrganisationShares::Key& account) {
  const auto found = shares.m_times.find(account);
  const double now = CurrentTime(shares, account.first);
  return found == shares.m_times.end()
             ? now
             : std::max(now - kMaxBehindSeconds, found->second);
}

}  // namespace

double VirtualTime(const OrganisationShares& shares,
                   int rank,
                   const std::optional<std::string>& organisation) {
  if (!organisation)
    return 0;
  return TimeOf(shares, AccountOf(shares, rank, *organisation));
}

bool IsAhead(const OrganisationShares& shares,
             int rank,
             const std::optional<std::string>& organisation) {
  return organisation &&
         VirtualTime(shares, rank, organisation) > CurrentTime(shares, rank) &&
         std::any_of(shares.m_times.begin(), shares.m_times.end(),
                     [&](const auto& each) {
                       return each.first.first == rank &&
                              each.first.second != *organisation;
                     });
}

void ChargeCall(OrganisationShares& shares,
                int rank,
                const std::optional<std::string>& organisation,
                Duration cost) {
  if (!organisation)
    return;
  const auto account = AccountOf(shares, rank, *organisation);
  const double start = TimeOf(shares, account);
  double& now = shares.m_now[rank];
  now = std::max(now, start);
  const double seconds =
      std::max(kMinCostSeconds, std::chrono::duration<double>(cost).count());
  shares.m_times[account] = std::min(start + seconds, now + kMaxAheadSeconds);
  std::erase_if(shares.m_times, [&](const auto& each) {
    return each.second <=
           CurrentTime(shares, each.first.first) - kMaxBehindSeconds;
  });
}

}  // namespace verbenalead::decide
