#ifndef VERBENALEAD_DECIDE_RENDEZVOUS_H_
#define VERBENALEAD_DECIDE_RENDEZVOUS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalead::decide {

/// A well-mixed 64-bit hash of a name and a number; the same in every process.
uint64_t MixHash(std::string_view name, uint64_t number);

/// The name among `names` with the highest hash for `number` (rendezvous
/// hashing): when one name goes, only its own numbers move. "" if none.
std::string RendezvousChoice(const std::vector<std::string>& names,
                             uint64_t number);

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_RENDEZVOUS_H_
