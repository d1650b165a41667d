use super::window::*;
use bytes::Bytes;
