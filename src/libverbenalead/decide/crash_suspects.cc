#include "decide/crash_suspects.h"

#include <functional>

namespace verbenalead::decide {
namespace {

/// FNV-1a: the same in every process, unlike std::hash.
uint64_t Mix(uint64_t hash, const std::string& text) {
  constexpr uint64_t kPrime = 1099511628211ULL;
  for (unsigned char c : text)
    hash = (hash ^ c) * kPrime;
  return (hash ^ 0xff) * kPrime;  // Ends the text: "a","b" isn't "ab","".
}

}  // namespace

uint64_t Fingerprint(const std::string& organisation,
                     const std::string& method,
                     const std::string& path,
                     const std::string& body) {
  constexpr uint64_t kBasis = 14695981039346656037ULL;
  return Mix(Mix(Mix(Mix(kBasis, organisation), method), path), body);
}

void NoteCrash(CrashSuspects& suspects, const CrashNote& note, TimePoint now) {
  if (suspects.m_cleared.contains(note.m_fingerprint))
    return;
  auto& replicas = suspects.m_suspects[note.m_fingerprint].m_replicas;
  replicas.emplace(note.m_replica, now);
}

void NoteAnswered(CrashSuspects& suspects,
                  uint64_t fingerprint,
                  TimePoint now) {
  if (suspects.m_suspects.erase(fingerprint) > 0)
    suspects.m_cleared[fingerprint] = now;
}

bool IsRefused(const CrashSuspects& suspects,
               uint64_t fingerprint,
               TimePoint now) {
  const auto found = suspects.m_suspects.find(fingerprint);
  if (found == suspects.m_suspects.end())
    return false;
  size_t crashes = 0;
  for (const auto& [replica, when] : found->second.m_replicas)
    crashes += now - when < kCrashMemory ? 1 : 0;
  return crashes >= kCrashesToRefuse;
}

std::vector<CrashNote> RecentNotes(const CrashSuspects& suspects,
                                   Duration age,
                                   TimePoint now) {
  std::vector<CrashNote> notes;
  for (const auto& [fingerprint, suspect] : suspects.m_suspects) {
    for (const auto& [replica, when] : suspect.m_replicas) {
      if (now - when < age)
        notes.push_back({fingerprint, replica});
    }
  }
  return notes;
}

void ForgetOldCrashes(CrashSuspects& suspects, TimePoint now) {
  for (auto& [fingerprint, suspect] : suspects.m_suspects) {
    std::erase_if(suspect.m_replicas, [now](const auto& entry) {
      return now - entry.second >= kCrashMemory;
    });
  }
  std::erase_if(suspects.m_cleared, [now](const auto& entry) {
    return now - entry.second >= kCrashMemory;
  });
  std::erase_if(suspects.m_suspects, [](const auto& entry) {
    return entry.second.m_replicas.empty();
  });
}

}  // namespace verbenalead::decide
