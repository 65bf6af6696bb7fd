#include "burdockstream/standins/BoardSubscription.h"

#include "burdockstream/standins/ExpectedBodies.h"

namespace burdockstream::standins {

void BoardSubscription::recordUpdate(uint32_t Number, std::string_view Body) {
  if (Body != boardBody(Service, Board, Number))
    ++WrongBodies;
  if (!Last) {
    Last = Number;
    Registering = false;
    return;
  }
  if (Number <= *Last) {
    if (Registering)
      Registering = false;
    else
      ++(Number == *Last ? Duplicates : OutOfOrder);
    return;
  }
  Lost += Number - *Last - 1;
  ++Updates;
  Last = Number;
}

} // namespace burdockstream::standins
