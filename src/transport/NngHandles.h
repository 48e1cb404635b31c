#ifndef CORNELRUDDER_TRANSPORT_NNG_HANDLES_H
#define CORNELRUDDER_TRANSPORT_NNG_HANDLES_H

#include "cornelrudder/transport/TransportError.h"

#include <nng/nng.h>

#include <string>
#include <string_view>
#include <utility>

namespace cornelrudder::transport {

/** @throws TransportError if an nng call failed. */
inline void
RequireNng(const std::string& aWhat, int aResult)
{
  if (aResult != 0) {
    throw TransportError(aWhat + ": " + nng_strerror(aResult));
  }
}

/** Closes an nng socket. */
class NngSocket
{
public:
  using Open = int (*)(nng_socket*);

  /** @throws TransportError if the socket cannot be opened. */
  explicit NngSocket(Open aOpen)
  {
    RequireNng("cannot open a peer socket", aOpen(&mSocket));
  }

  ~NngSocket() { nng_close(mSocket); }
  NngSocket(const NngSocket&) = delete;
  NngSocket& operator=(const NngSocket&) = delete;

  nng_socket Get() const { return mSocket; }

private:
  nng_socket mSocket = NNG_SOCKET_INITIALIZER;
};

/** Stops and frees an asynchronous operation of nng. */
class NngAio
{
public:
  NngAio(void (*aCallback)(void*), void* aArgument)
  {
    RequireNng("cannot allocate a peer operation",
               nng_aio_alloc(&mAio, aCallback, aArgument));
  }

  /** Waits for a callback that runs. */
  ~NngAio()
  {
    nng_aio_stop(mAio);
    nng_aio_free(mAio);
  }

  NngAio(const NngAio&) = delete;
  NngAio& operator=(const NngAio&) = delete;

  nng_aio* Get() const { return mAio; }

private:
  nng_aio* mAio = nullptr;
};

/** Frees an nng message unless it was given away. */
class NngMessage
{
public:
  explicit NngMessage(nng_msg* aMessage)
    : mMessage(aMessage)
  {
  }

  /** @throws TransportError if there is no memory. */
  explicit NngMessage(std::string_view aBody)
  {
    RequireNng("cannot allocate a peer frame", nng_msg_alloc(&mMessage, 0));
    const int result = nng_msg_append(mMessage, aBody.data(), aBody.size());
    if (result != 0) {
      nng_msg_free(mMessage);
      RequireNng("cannot allocate a peer frame", result);
    }
  }

  ~NngMessage()
  {
    if (mMessage != nullptr) {
      nng_msg_free(mMessage);
    }
  }

  NngMessage(const NngMessage&) = delete;
  NngMessage& operator=(const NngMessage&) = delete;

  nng_msg* Get() const { return mMessage; }
  void Release() { mMessage = nullptr; }

  std::string Body() const
  {
    return { static_cast<const char*>(nng_msg_body(mMessage)),
             nng_msg_len(mMessage) };
  }

private:
  nng_msg* mMessage = nullptr;
};

} // namespace cornelrudder::transport

#endif // CORNELRUDDER_TRANSPORT_NNG_HANDLES_H
