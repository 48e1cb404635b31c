#include "cornelrudder/state/Ids.h"

#include "cornelrudder/state/StateError.h"

#include <algorithm>

namespace cornelrudder::state {

namespace {

bool
IsIdCharacter(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '.' ||
         aCharacter == '_' || aCharacter == '-';
}

} // namespace

bool
IsValidId(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxIdLength &&
         std::all_of(aText.begin(), aText.end(), IsIdCharacter);
}

void
RequireValidId(std::string_view aKind, std::string_view aText)
{
  if (IsValidId(aText)) {
    return;
  }
  throw StateError("bad " + std::string(aKind) + " \"" +
                   std::string(aText.substr(0, kMaxIdLength)) +
                   "\": allowed are 1 to 64 characters of A-Z a-z 0-9 . _ -");
}

} // namespace cornelrudder::state
