#ifndef VERBENALEAD_LINKS_FOLLOW_REQUEST_H_
#define VERBENALEAD_LINKS_FOLLOW_REQUEST_H_

namespace verbenalead::links {

/// Tells a target process what the sender knows, and asks it to tell its news
/// for a few seconds.
struct FollowRequest {
  /// The sender wants to know which chunks there are; otherwise how the replica
  /// is.
  bool m_chunks = false;
  /// The sender is in the same data centre. A far one only tells what it knows:
  /// of the replica it hears by the summary of the data centre.
  bool m_near = false;
  /// The newest change of declared weights that the sender knows. Changes of
  /// the routing alone are nothing to a target: told of each, 26 hosts that
  /// fetched 100 KB several times a second overloaded the entry that reads.
  uint64_t m_weights_revision = 0;
  /// Stands for the sender's list of replicas; 0: it has none.
  uint64_t m_replicas_hash = 0;
  /// The part of the places of the usable replicas of the target's service that
  /// is taken, as far as the sender knows, in percent.
  uint32_t m_fullness_percent = 100;

  friend bool operator==(const FollowRequest&, const FollowRequest&) = default;
};

}  // namespace verbenalead::links

#endif  // VERBENALEAD_LINKS_FOLLOW_REQUEST_H_
