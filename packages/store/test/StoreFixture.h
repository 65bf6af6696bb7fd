// Test fixture with a store stand-in and a client of it on one main loop.
#ifndef BURDOCKSTREAM_STORE_TEST_STOREFIXTURE_H
#define BURDOCKSTREAM_STORE_TEST_STOREFIXTURE_H

#include "burdockstream/store/StoreClient.h"
#include "burdockstream/testing/StoreStandIn.h"

#include <glib.h>
#include <gtest/gtest.h>
#include <optional>

namespace burdockstream::store {

class StoreFixture : public ::testing::Test {
protected:
  static constexpr base::SocketAddress Address{0x7f000001, 28472};

  StoreFixture() : Client({Address}, std::chrono::milliseconds(500)) {
    EXPECT_TRUE(Server.listen(Address).has_value());
  }

  template <typename Predicate> static void runUntil(Predicate Done) {
    while (!Done())
      g_main_context_iteration(nullptr, TRUE);
  }

  // Starts an asynchronous call and runs the loop until its callback is called.
  template <typename ReplyT, typename StarterT>
  static base::Result<ReplyT> await(StarterT Start) {
    std::optional<base::Result<ReplyT>> Reply;
    Start([&](base::Result<ReplyT> Value) { Reply = std::move(Value); });
    runUntil([&] { return Reply.has_value(); });
    return *Reply;
  }

  base::Result<CasReply> swap(const CasRequest &Request) {
    return await<CasReply>(
        [&](const CasCallback &Done) { Client.compareAndSwap(Request, Done); });
  }

  base::Result<RangeReply> read(const std::string &Key) {
    return await<RangeReply>(
        [&](const RangeCallback &Done) { Client.readKey(Key, Done); });
  }

  testing::StoreStandIn Server;
  StoreClient Client;
};

} // namespace burdockstream::store

#endif
