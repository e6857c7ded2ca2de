#include "decide/rollout/declared_versions.h"

#include <algorithm>

namespace verbenalead::decide {

bool IsBetterDate(const DeclarationDate& a, const DeclarationDate& b) {
  if (a.m_known != b.m_known)
    return a.m_known;
  return a.m_declared_at < b.m_declared_at;
}

bool Declare(DeclaredVersions& versions,
             uint64_t version,
             DeclarationDate date,
             TimePoint binds_at) {
  const auto [found, is_new] =
      versions.m_declarations.try_emplace(version, Declaration{date, binds_at});
  if (is_new)
    return true;
  if (!IsBetterDate(date, found->second.m_date))
    return false;
  found->second = {date, binds_at};
  return true;
}

uint64_t Newest(const DeclaredVersions& versions) {
  return versions.m_declarations.empty()
             ? 0
             : versions.m_declarations.rbegin()->first;
}

uint64_t Binding(const DeclaredVersions& versions, TimePoint now) {
  uint64_t binding = 0;
  for (const auto& [version, declaration] : versions.m_declarations) {
    if (declaration.m_binds_at <= now)
      binding = version;
  }
  return binding;
}

TimePoint ForbiddenFrom(const DeclaredVersions& versions, uint64_t version) {
  TimePoint from = TimePoint::max();
  for (const auto& [newer, declaration] : versions.m_declarations) {
    if (newer > version)
      from = std::min(from, declaration.m_binds_at);
  }
  return from;
}

std::map<uint64_t, Declaration> BindingSince(const DeclaredVersions& versions,
                                             TimePoint since) {
  const auto& all = versions.m_declarations;
  auto first = all.lower_bound(Binding(versions, since));
  return {first, all.end()};
}

bool HasGuessedDate(const DeclaredVersions& versions, TimePoint now) {
  return std::any_of(versions.m_declarations.begin(),
                     versions.m_declarations.end(), [now](const auto& entry) {
                       return !entry.second.m_date.m_known &&
                              entry.second.m_binds_at > now;
                     });
}

}  // namespace verbenalead::decide
