#ifndef VERBENALEAD_LINKS_PLACE_WITHDRAWAL_H_
#define VERBENALEAD_LINKS_PLACE_WITHDRAWAL_H_

#include <cstdint>
#include <string>

namespace verbenalead::links {

/// An entry doesn't want a place any more that it asked a target process for.
/// Where this is lost, the place is granted and given back.
struct PlaceWithdrawal {
  std::string m_replica;
  uint64_t m_ticket = 0;

  friend bool operator==(const PlaceWithdrawal&,
                         const PlaceWithdrawal&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_PLACE_WITHDRAWAL_H_
