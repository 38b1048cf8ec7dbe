/// \file
/// Interface through which an owner that has lost the store hands its cell
/// over.

#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "hyssopspar/error.h"
#include "hyssopspar/jobs/records.h"

namespace hyssopspar::node {

/// Asynchronous calls to other nodes. All calls and callbacks on the loop's
/// thread.
class HandoverPort {
 public:
  virtual ~HandoverPort() = default;

  /// Asks all peers at once and yields the address of the first that reaches
  /// the store and can store the release of \p epoch. Not called when no peer
  /// can.
  virtual void FindPeer(std::uint64_t epoch,
                        std::function<void(const std::string&)> found) = 0;
  /// Stores \p release through the peer. After an error it may be stored.
  virtual void StoreRelease(const std::string& peer,
                            const jobs::OwnerRecord& release,
                            std::function<void(Result<void>)> done) = 0;
};

}  // namespace hyssopspar::node
