// Generates messages with random contents for tests that cover every message
// type.
#ifndef BURDOCKSTREAM_MESSAGES_TEST_RANDOMMESSAGES_H
#define BURDOCKSTREAM_MESSAGES_TEST_RANDOMMESSAGES_H

#include "burdockstream/base/Random.h"
#include "burdockstream/messages/Messages.h"

#include <cstddef>

namespace burdockstream::messages::testing {

// Returns a message whose type has index Type in Message; Type must be less
// than the number of types. The same state of Source gives the same message.
Message randomMessage(base::RandomSource &Source, size_t Type);

} // namespace burdockstream::messages::testing

#endif
