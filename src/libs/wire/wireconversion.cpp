// Conversion between protobuf messages and plain values.
#include "wire/wireconversion.h"
