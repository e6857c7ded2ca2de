#ifndef VERBENALEAD_DECIDE_TRANSFER_TRANSFER_MEMBER_H_
#define VERBENALEAD_DECIDE_TRANSFER_TRANSFER_MEMBER_H_

#include <compare>
#include <string>

namespace verbenalead::decide {

/// A live host that takes part in a transfer.
struct TransferMember {
  std::string m_name;
  std::string m_region;
  std::string m_data_center;

  friend auto operator<=>(const TransferMember&,
                          const TransferMember&) = default;
};

}  // namespace verbenalead::decide

#endif  // VERBENALEAD_DECIDE_TRANSFER_TRANSFER_MEMBER_H_
