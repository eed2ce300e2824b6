// Compiles Boost.Asio, Boost.Beast and Boost.JSON once, instead of in every translation unit.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
#include <boost/json/src.hpp>
