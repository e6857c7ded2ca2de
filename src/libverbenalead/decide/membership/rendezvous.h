#ifndef VERBENALEAD_DECIDE_MEMBERSHIP_RENDEZVOUS_H_
#define VERBENALEAD_DECIDE_MEMBERSHIP_RENDEZVOUS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "decide/transfer/transfer_member.h"

namespace verbenalead::decide {

/// The two steps of MixHash(), for loops that hash many numbers with one name.
uint64_t HashName(std::string_view name);
inline uint64_t MixNumber(uint64_t name_hash, uint64_t number) {
  // The finaliser of SplitMix64.
  uint64_t hash = name_hash + 0x9e3779b97f4a7c15u * (number + 1);
  hash = (hash ^ hash >> 30) * 0xbf58476d1ce4e5b9u;
  hash = (hash ^ hash >> 27) * 0x94d049bb133111ebu;
  return hash ^ hash >> 31;
}

/// A well-mixed 64-bit hash of a name and a number; the same in every process.
uint64_t MixHash(std::string_view name, uint64_t number);

/// The name among `names` with the highest hash for `number` (rendezvous
/// hashing): when a name is removed, only the numbers mapped to it are mapped
/// to other names. "" if `names` is empty.
std::string RendezvousChoice(const std::vector<std::string>& names,
                             uint64_t number);
/// The same for the names of `members`, as an index. `members` must not be
/// empty.
size_t RendezvousIndex(const std::vector<TransferMember>& members,
                       uint64_t number);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_MEMBERSHIP_RENDEZVOUS_H_
